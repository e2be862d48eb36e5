package org.lovagerack.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.function.Consumer;

/** One HTTP call, from queueing for a connection to its result. */
final class HttpCall {

  private final FullHttpRequest request;
  private final ConnectionPool pool;
  private final Consumer<HttpReply> callback;
  private Runnable onFinished = () -> {};
  private HttpConnection connection;
  private boolean finished;

  /**
   * Creates a call without a connection.
   *
   * @param callback receives the result, once
   */
  HttpCall(FullHttpRequest request, ConnectionPool pool, Consumer<HttpReply> callback) {
    this.request = request;
    this.pool = pool;
    this.callback = callback;
  }

  /** Returns a request with the given headers, Host, and Content-Length where it is needed. */
  static FullHttpRequest request(
      HttpMethod method, String address, String uri, Map<String, String> headers, Buffer body) {
    HttpHeaders allHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    allHeaders.set(HttpHeaderNames.HOST, address);
    headers.forEach(allHeaders::set);
    ByteBuf content =
        body.length() == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body.getBytes());
    if (content.isReadable() || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
      allHeaders.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        io.netty.handler.codec.http.HttpMethod.valueOf(method.name()),
        uri,
        content,
        allHeaders,
        EmptyHttpHeaders.INSTANCE);
  }

  /** Sets the action to run when the call has completed or is cancelled. */
  void onFinished(Runnable action) {
    onFinished = action;
  }

  FullHttpRequest request() {
    return request;
  }

  /** Sets the connection on which the request is about to be written. */
  void attachTo(HttpConnection newConnection) {
    connection = newConnection;
  }

  /** Completes the call with a response. */
  void succeed(HttpReply.Response response) {
    finish(response);
  }

  /** Fails the call before its request was sent. */
  void failUnsent(String reason) {
    finish(new HttpReply.NotSent(reason));
  }

  /** Fails the call after its request was sent. */
  void failUnanswered(String reason) {
    finish(new HttpReply.NoResponse(reason));
  }

  /** Fails the call because its timeout has passed. */
  void timeOut() {
    if (finished) {
      return;
    }
    if (connection == null) {
      pool.remove(this);
      failUnsent("no connection in time");
    } else {
      HttpConnection unanswered = connection;
      failUnanswered("no response in time");
      // The connection may no longer work, so it is not reused.
      unanswered.reset();
    }
  }

  /** Ends the call without a result; an undelivered request is not delivered later. */
  void cancel() {
    if (finished) {
      return;
    }
    end();
    if (connection == null) {
      pool.remove(this);
    } else {
      connection.reset();
    }
  }

  private void finish(HttpReply reply) {
    if (!finished) {
      end();
      callback.accept(reply);
    }
  }

  private void end() {
    finished = true;
    onFinished.run();
  }
}
