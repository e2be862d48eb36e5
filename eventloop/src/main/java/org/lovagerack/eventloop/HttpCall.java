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

/** One call, from its wait for a connection to its one result. */
final class HttpCall {

  private final FullHttpRequest request;
  private final ConnectionPool pool;
  private final Consumer<HttpReply> callback;
  private Runnable onFinished = () -> {};
  private HttpConnection connection;
  private boolean finished;

  /**
   * Creates a call that waits for a connection.
   *
   * @param callback receives the one result
   */
  HttpCall(FullHttpRequest request, ConnectionPool pool, Consumer<HttpReply> callback) {
    this.request = request;
    this.pool = pool;
    this.callback = callback;
  }

  /** Returns a request with the headers that its body and its connection need. */
  static FullHttpRequest request(
      HttpMethod method, String address, String uri, Map<String, String> headers, Buffer body) {
    HttpHeaders sent = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    sent.set(HttpHeaderNames.HOST, address);
    headers.forEach(sent::set);
    ByteBuf content =
        body.length() == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body.getBytes());
    if (content.isReadable() || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
      sent.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        io.netty.handler.codec.http.HttpMethod.valueOf(method.name()),
        uri,
        content,
        sent,
        EmptyHttpHeaders.INSTANCE);
  }

  /** Sets what is run when the call has its result or is withdrawn. */
  void onFinished(Runnable action) {
    onFinished = action;
  }

  FullHttpRequest request() {
    return request;
  }

  /** The request is about to be written. */
  void sentOn(HttpConnection used) {
    connection = used;
  }

  /** A whole response has arrived. */
  void answered(HttpReply.Response response) {
    finish(response);
  }

  /** No connection could be opened. */
  void notSent(String reason) {
    finish(new HttpReply.NotSent(reason));
  }

  /** The connection ended before a whole response. */
  void broken(String reason) {
    finish(new HttpReply.NoResponse(reason));
  }

  /** The time for the call is over. */
  void expire() {
    if (finished) {
      return;
    }
    if (connection == null) {
      pool.remove(this);
      notSent("no connection in time");
    } else {
      HttpConnection unanswered = connection;
      broken("no response in time");
      // Closes the connection, which may have gone silent.
      unanswered.reset();
    }
  }

  /** Ends the call without a result; a request that has not arrived does not arrive later. */
  void withdraw() {
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
