package org.lovagerack.eventloop;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/** Makes HTTP calls over kept connections. All methods and callbacks run on one event loop. */
public final class HttpCaller {

  /** A healthy address of the platform connects within milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Connections are priced, so they are kept for about as long as a day's lull. */
  private static final int KEEP_ALIVE_SECONDS = 120;

  private final Vertx vertx;
  private final HttpClient client;

  /**
   * Creates a caller.
   *
   * @param connectionsPerAddress largest number of open connections to one address
   */
  public HttpCaller(Vertx vertx, int connectionsPerAddress) {
    this.vertx = vertx;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                // A connection that is closed is reset: a request that was held up by a partition
                // must not arrive when its caller has long given it up.
                .setSoLinger(0)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
            new PoolOptions().setHttp1MaxSize(connectionsPerAddress).setEventLoopSize(0));
  }

  /**
   * Makes a call.
   *
   * @param address IP number and port
   * @param timeout time until a whole response must have arrived
   * @param callback receives the one result
   * @return withdraws the call if it has no result yet: the callback receives none, and a request
   *     that has not arrived does not arrive later
   */
  public Runnable call(
      HttpMethod method,
      String address,
      String uri,
      Map<String, String> headers,
      Buffer body,
      Duration timeout,
      Consumer<HttpReply> callback) {
    Call call = new Call(callback);
    call.timer = vertx.setTimer(Math.max(1, timeout.toMillis()), ignored -> call.expire());
    client
        .request(options(method, address, uri, headers))
        .onSuccess(request -> call.send(request, body))
        .onFailure(cause -> call.finish(new HttpReply.NotSent(String.valueOf(cause.getMessage()))));
    return call::withdraw;
  }

  /**
   * Returns what Vert.x needs to know of a request.
   *
   * @param address IP number and port
   */
  public static RequestOptions options(
      HttpMethod method, String address, String uri, Map<String, String> headers) {
    int colon = address.lastIndexOf(':');
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.substring(0, colon))
            .setPort(Integer.parseInt(address.substring(colon + 1)))
            .setURI(uri);
    headers.forEach(options::putHeader);
    return options;
  }

  private final class Call {
    private final Consumer<HttpReply> callback;
    private HttpClientRequest request;
    private long timer;
    private boolean finished;

    Call(Consumer<HttpReply> callback) {
      this.callback = callback;
    }

    void send(HttpClientRequest connected, Buffer body) {
      if (finished) {
        // The call has expired, and its caller was told that nothing was sent.
        connected.reset();
        return;
      }
      request = connected;
      request
          .send(body)
          .onFailure(this::broken)
          .onSuccess(
              response ->
                  response
                      .body()
                      .onFailure(this::broken)
                      .onSuccess(
                          answer -> finish(new HttpReply.Response(response.statusCode(), answer))));
    }

    private void broken(Throwable cause) {
      finish(new HttpReply.NoResponse(String.valueOf(cause.getMessage())));
    }

    private void withdraw() {
      if (finished) {
        return;
      }
      finished = true;
      vertx.cancelTimer(timer);
      if (request != null) {
        request.reset();
      }
    }

    private void expire() {
      if (finished) {
        return;
      }
      if (request == null) {
        finish(new HttpReply.NotSent("no connection in time"));
      } else {
        HttpClientRequest unanswered = request;
        finish(new HttpReply.NoResponse("no response in time"));
        // Closes the connection, which may have gone silent.
        unanswered.reset();
      }
    }

    private void finish(HttpReply reply) {
      if (!finished) {
        finished = true;
        vertx.cancelTimer(timer);
        callback.accept(reply);
      }
    }
  }
}
