package org.lovagerack.daemon.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptListener;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.foundation.data.Bytes;

/** One attempt over HTTP. No part of the request is sent before a connection is obtained. */
final class HttpAttempt implements Attempt {

  private final AttemptRequest request;
  private final AttemptListener listener;
  private final ConnectionGroup group;
  private final int maxAnswerBytes;
  private HttpClientRequest httpRequest;
  private boolean holdsSlot;
  private boolean finished;

  HttpAttempt(
      AttemptRequest request, AttemptListener listener, ConnectionGroup group, int maxAnswerBytes) {
    this.request = request;
    this.listener = listener;
    this.group = group;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  void start(HttpClient client, Vertx vertx) {
    holdsSlot = group.tryAcquire();
    if (!holdsSlot) {
      vertx.runOnContext(
          ignored -> finish(new AttemptResult.NotSent("the limit of connections is reached")));
      return;
    }
    client
        .request(options())
        .onComplete(
            obtained -> {
              if (obtained.failed()) {
                finish(new AttemptResult.NotSent(describe(obtained.cause())));
              } else {
                send(obtained.result());
              }
            });
  }

  private RequestOptions options() {
    int colon = request.upstream().lastIndexOf(':');
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost(request.upstream().substring(0, colon))
        .setPort(Integer.parseInt(request.upstream().substring(colon + 1)))
        .setURI(request.path())
        .putHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream")
        .putHeader("Lovagerack-Task", request.taskKey())
        .putHeader("Lovagerack-Attempt", Integer.toString(request.attempt()))
        .putHeader(
            "Lovagerack-Deadline-Millis",
            Long.toString(Math.max(0, request.remaining().toMillis())));
  }

  private void send(HttpClientRequest connected) {
    if (finished) {
      connected.reset();
      return;
    }
    httpRequest = connected;
    group.markBusy(connected.connection());
    connected
        .send(Buffer.buffer(request.body().toByteArray()))
        .onComplete(
            answered -> {
              if (answered.failed()) {
                finishAsLost(describe(answered.cause()));
              } else {
                read(answered.result());
              }
            });
  }

  private void read(HttpClientResponse response) {
    if (finished) {
      return;
    }
    if (!hasExplicitLength(response)) {
      finishAsLost("the answer has neither Content-Length nor Transfer-Encoding");
      return;
    }
    Buffer body = Buffer.buffer();
    response.handler(
        part -> {
          if (body.length() + part.length() > maxAnswerBytes) {
            finishAsLost("the answer is over " + maxAnswerBytes + " bytes");
          } else {
            body.appendBuffer(part);
          }
        });
    response.exceptionHandler(cause -> finishAsLost(describe(cause)));
    response.endHandler(
        ignored ->
            finish(
                new AttemptResult.Answered(
                    response.statusCode(),
                    Bytes.copyOf(body.getBytes()),
                    closesConnection(response))));
  }

  /**
   * An answer delimited only by the end of its connection cannot be distinguished from a partial
   * one.
   */
  private static boolean hasExplicitLength(HttpClientResponse response) {
    return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
        || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null
        || response.statusCode() == 204;
  }

  private boolean closesConnection(HttpClientResponse response) {
    return !request.freshConnection()
        && "close".equalsIgnoreCase(response.getHeader(HttpHeaders.CONNECTION));
  }

  private void finishAsLost(String reason) {
    if (!finished) {
      httpRequest.reset();
      finish(new AttemptResult.Lost(reason));
    }
  }

  private void finish(AttemptResult result) {
    if (tryFinish()) {
      listener.onResult(result);
    }
  }

  @Override
  public void cancel() {
    if (tryFinish() && httpRequest != null) {
      httpRequest.reset();
    }
  }

  private boolean tryFinish() {
    if (finished) {
      return false;
    }
    finished = true;
    if (holdsSlot) {
      group.release();
    }
    if (httpRequest != null) {
      group.markIdle(httpRequest.connection());
    }
    return true;
  }

  private static String describe(Throwable cause) {
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }
}
