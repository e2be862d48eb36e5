package org.lovagerack.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.ContextInternal;
import java.time.Duration;

/** One connection to an address, with at most one call in progress. */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Lower statuses are informational and precede the final response. */
  private static final int FIRST_FINAL_STATUS = 200;

  private final Channel channel;
  private final ConnectionPool pool;
  private final ContextInternal context;
  private HttpCall call;
  private int status;
  private Buffer body = Buffer.buffer();
  private boolean keepAlive;
  private long releasedNanos = System.nanoTime();

  /**
   * Wraps an open channel.
   *
   * @param context context of the callbacks
   */
  HttpConnection(Channel channel, ConnectionPool pool, ContextInternal context) {
    this.channel = channel;
    this.pool = pool;
    this.context = context;
  }

  /** Sends a call; no other call may be in progress. */
  @SuppressWarnings("FutureReturnValueIgnored")
  void send(HttpCall next) {
    call = next;
    status = 0;
    next.attachTo(this);
    channel
        .writeAndFlush(next.request())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                OutOfMemoryExit.check(written.cause());
                context.dispatch(() -> fail(String.valueOf(written.cause().getMessage())));
              }
            });
  }

  /** Resets the connection, which discards data that has not been sent. */
  void reset() {
    call = null;
    close();
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private void close() {
    channel.close();
  }

  /** Returns whether the connection has been idle for the given time. */
  boolean isIdleFor(Duration duration) {
    return System.nanoTime() - releasedNanos >= duration.toNanos();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handler, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      context.dispatch(
          () -> {
            fail("malformed response: " + part.decoderResult().cause().getMessage());
            close();
          });
      return;
    }
    if (part instanceof HttpResponse response) {
      status = response.status().code();
      body = Buffer.buffer();
      keepAlive = HttpUtil.isKeepAlive(response);
    }
    if (part instanceof HttpContent content && content.content().isReadable()) {
      byte[] bytes = new byte[content.content().readableBytes()];
      content.content().readBytes(bytes);
      body.appendBytes(bytes);
    }
    if (part instanceof LastHttpContent && status >= FIRST_FINAL_STATUS) {
      context.dispatch(this::complete);
    }
  }

  private void complete() {
    HttpCall answered = call;
    call = null;
    if (answered == null) {
      // No call is in progress, so later data could be mistaken for the next response.
      close();
      return;
    }
    HttpReply.Response response = new HttpReply.Response(status, body);
    if (keepAlive) {
      releasedNanos = System.nanoTime();
      pool.release(this);
    } else {
      close();
    }
    answered.succeed(response);
  }

  private void fail(String reason) {
    HttpCall failed = call;
    call = null;
    if (failed != null) {
      failed.failUnanswered(reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    context.dispatch(
        () -> {
          pool.onClosed(this);
          fail("the connection was closed");
        });
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    OutOfMemoryExit.check(cause);
    context.dispatch(() -> fail(String.valueOf(cause.getMessage())));
    close();
  }
}
