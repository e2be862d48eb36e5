package org.lovagerack.standins.cluster;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lovagerack.eventloop.HttpCaller;

/** HTTP client that blocks until the response has arrived. */
public final class BlockingHttp {

  /** Status and body of a response. */
  public record Reply(int status, String body) {

    /** Returns the body as a JSON object. */
    public JsonObject json() {
      return new JsonObject(body);
    }
  }

  private static final int TIMEOUT_SECONDS = 40;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_CONNECTIONS = 400;

  private final HttpClient client;

  public BlockingHttp(Vertx vertx) {
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  }

  /**
   * Sends a request.
   *
   * @throws IOException if no complete response arrived in time
   */
  public Reply call(
      HttpMethod method, String address, String path, Map<String, String> headers, String body)
      throws IOException, InterruptedException {
    Future<Reply> reply =
        client
            .request(HttpCaller.options(method, address, path, headers))
            .compose(request -> request.send(Buffer.buffer(body)).compose(BlockingHttp::readReply));
    try {
      return reply.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(method + " " + address + path + ": " + e.getMessage(), e);
    }
  }

  /** Must run on the event loop, before the body can arrive. */
  private static Future<Reply> readReply(HttpClientResponse response) {
    return response.body().map(data -> new Reply(response.statusCode(), data.toString()));
  }

  public Reply get(String address, String path) throws IOException, InterruptedException {
    return call(HttpMethod.GET, address, path, Map.of(), "");
  }
}
