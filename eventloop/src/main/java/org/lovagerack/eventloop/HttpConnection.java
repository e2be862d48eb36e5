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

/** One connection to an address, with at most one call under way. */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Informational responses precede the one that counts. */
  private static final int FIRST_FINAL_STATUS = 200;

  private final Channel channel;
  private final ConnectionPool pool;
  private final ContextInternal context;
  private HttpCall call;
  private int status;
  private Buffer body = Buffer.buffer();
  private boolean kept;
  private long releasedNanos = System.nanoTime();

  /**
   * Creates a connection that is open.
   *
   * @param context context of the callbacks
   */
  HttpConnection(Channel channel, ConnectionPool pool, ContextInternal context) {
    this.channel = channel;
    this.pool = pool;
    this.context = context;
  }

  /** Sends a call; there must be no other one under way. */
  @SuppressWarnings("FutureReturnValueIgnored")
  void send(HttpCall next) {
    call = next;
    status = 0;
    next.sentOn(this);
    channel
        .writeAndFlush(next.request())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                context.dispatch(() -> fail(String.valueOf(written.cause().getMessage())));
              }
            });
  }

  /** Closes the connection so that nothing that it holds arrives later. */
  void reset() {
    call = null;
    close();
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private void close() {
    channel.close();
  }

  /** Returns whether the connection was not used for a time. */
  boolean idleFor(Duration time) {
    return System.nanoTime() - releasedNanos >= time.toNanos();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handler, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      context.dispatch(
          () -> {
            fail("unreadable response: " + part.decoderResult().cause().getMessage());
            close();
          });
      return;
    }
    if (part instanceof HttpResponse response) {
      status = response.status().code();
      body = Buffer.buffer();
      kept = HttpUtil.isKeepAlive(response);
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
      // Nobody waits for this response; what follows it could not be told from the next one.
      close();
      return;
    }
    HttpReply.Response response = new HttpReply.Response(status, body);
    if (kept) {
      releasedNanos = System.nanoTime();
      pool.released(this);
    } else {
      close();
    }
    answered.answered(response);
  }

  private void fail(String reason) {
    HttpCall failed = call;
    call = null;
    if (failed != null) {
      failed.broken(reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    context.dispatch(
        () -> {
          pool.closed(this);
          fail("the connection was closed");
        });
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    context.dispatch(() -> fail(String.valueOf(cause.getMessage())));
    close();
  }
}
