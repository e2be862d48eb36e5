package org.lovagerack.operator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Sends calls to entry VMs, one at a time, and waits for each answer. */
final class HttpSender implements AutoCloseable {

  private static final int CONNECT_MILLIS = 2_000;

  private final Vertx vertx;
  private final HttpClient client;
  private final Duration timeout;
  private final Optional<OperatorKey> key;

  /**
   * Creates a sender.
   *
   * @param timeout how long an answer may take, beyond the time that the entry VM waits
   * @param key operator key that every call carries
   */
  HttpSender(Duration timeout, Optional<OperatorKey> key) {
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)));
    // A kept connection could break while a call is sent, which would look like a lost answer.
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS).setKeepAlive(false));
    this.timeout = timeout;
    this.key = key;
  }

  /** Sends a call to one entry VM. */
  EntryAttempt send(EntryAddress address, EntryCall call) {
    AtomicReference<HttpClientRequest> opened = new AtomicReference<>();
    // Sent from the event loop: on another thread, parts of a fast response could pass before
    // anything waits for them.
    Future<EntryAttempt> attempt =
        client
            .request(options(address, call))
            .compose(
                request -> {
                  opened.set(request);
                  return answer(request, call).timeout(limitMillis(call), TimeUnit.MILLISECONDS);
                });
    try {
      return await(attempt);
    } catch (CompletionException e) {
      HttpClientRequest request = opened.get();
      if (request == null) {
        return new EntryAttempt.NotSent(reason(e));
      }
      request.reset();
      return new EntryAttempt.Lost(reason(e));
    }
  }

  private RequestOptions options(EntryAddress address, EntryCall call) {
    RequestOptions options =
        new RequestOptions()
            .setHost(address.host())
            .setPort(address.port())
            .setMethod(call.method())
            .setURI(call.path());
    call.headers().forEach(options::putHeader);
    key.ifPresent(
        operator -> options.putHeader(HttpHeaders.AUTHORIZATION, operator.authorization()));
    return options;
  }

  private static Future<EntryAttempt> answer(HttpClientRequest request, EntryCall call) {
    return call.body()
        .map(body -> request.send(Buffer.buffer(body)))
        .orElseGet(request::send)
        .compose(
            response ->
                response
                    .body()
                    .map(
                        body -> new EntryAttempt.Answered(response.statusCode(), body.toString())));
  }

  private long limitMillis(EntryCall call) {
    return timeout.plus(call.waitLimit()).toMillis();
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private static String reason(CompletionException e) {
    Throwable cause = e.getCause() == null ? e : e.getCause();
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }

  @Override
  public void close() {
    await(vertx.close());
  }
}
