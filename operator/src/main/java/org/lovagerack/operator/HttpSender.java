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

/** Sends calls to entry VMs, one at a time, and blocks until each is answered. */
final class HttpSender implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  private final Vertx vertx;
  private final HttpClient client;
  private final Duration answerTimeout;
  private final Optional<OperatorKey> operatorKey;

  /**
   * Creates a sender.
   *
   * @param answerTimeout how long an answer may take, beyond the wait limit of the call
   * @param operatorKey operator key that is sent with every call
   */
  HttpSender(Duration answerTimeout, Optional<OperatorKey> operatorKey) {
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)));
    // A pooled connection could break while a call is sent, which would look like a lost answer.
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(false));
    this.answerTimeout = answerTimeout;
    this.operatorKey = operatorKey;
  }

  /** Sends a call to one entry VM. */
  EntryCallResult send(EntryAddress address, EntryCall call) {
    AtomicReference<HttpClientRequest> openedRequest = new AtomicReference<>();
    // Send from the event loop: on another thread, parts of a fast response could arrive before
    // their handlers are set.
    Future<EntryCallResult> attempt =
        client
            .request(requestOptions(address, call))
            .compose(
                request -> {
                  openedRequest.set(request);
                  return sendRequest(request, call)
                      .timeout(timeoutMillis(call), TimeUnit.MILLISECONDS);
                });
    try {
      return await(attempt);
    } catch (CompletionException e) {
      HttpClientRequest request = openedRequest.get();
      if (request == null) {
        return new EntryCallResult.NotSent(reason(e));
      }
      request.reset();
      return new EntryCallResult.Lost(reason(e));
    }
  }

  private RequestOptions requestOptions(EntryAddress address, EntryCall call) {
    RequestOptions options =
        new RequestOptions()
            .setHost(address.host())
            .setPort(address.port())
            .setMethod(call.method())
            .setURI(call.path());
    call.headers().forEach(options::putHeader);
    operatorKey.ifPresent(
        value -> options.putHeader(HttpHeaders.AUTHORIZATION, value.authorizationHeader()));
    return options;
  }

  private static Future<EntryCallResult> sendRequest(HttpClientRequest request, EntryCall call) {
    return call.body()
        .map(body -> request.send(Buffer.buffer(body)))
        .orElseGet(request::send)
        .compose(
            response ->
                response
                    .body()
                    .map(
                        body ->
                            new EntryCallResult.Answered(response.statusCode(), body.toString())));
  }

  private long timeoutMillis(EntryCall call) {
    return answerTimeout.plus(call.waitLimit()).toMillis();
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
