package org.lovagerack.eventloop.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.lovagerack.eventloop.OutOfMemoryExit;
import org.lovagerack.foundation.error.ErrorKind;

/**
 * Applies the limits of a port to one connection, between the HTTP codec and the server. Refuses
 * requests before the server has received them as a whole, so that no refused request has run.
 */
final class ConnectionGuard extends ChannelDuplexHandler {

  /** Memory of an idle connection: channel, pipeline, decoder and connection of the server. */
  private static final long CONNECTION_COST = 16_384;

  /** Memory of a request without its fields: request, response, timer and job. */
  private static final long REQUEST_COST = 2048;

  /**
   * Memory of a parsed header field without its text. With a third of it, clients that send heads
   * of short fields exhausted a heap of 48 MB.
   */
  private static final long FIELD_COST = 480;

  /** Received text is in a network buffer and in the parsed fields. */
  private static final int HEAD_COPIES = 2;

  /** A body is collected in a buffer that grows by doubling and is copied to be parsed. */
  private static final int BODY_COPIES = 3;

  /**
   * Time for a client whose request was refused to read the response. Closing the connection while
   * data arrives makes the client's system discard the response.
   */
  private static final Duration LINGER_TIME = Duration.ofSeconds(2);

  /** Limits the processor time for data that is discarded. */
  private static final long MAX_DISCARDED_BYTES = 1_048_576;

  private enum Inbound {
    HEAD,
    BODY,
    /** The response to the request was sent already, and the rest of its body is dropped. */
    DISCARD
  }

  private static final class Exchange {
    private long cost;
    private long bodyBytes;
    private long answeredNanos;
  }

  private final PortGuard port;
  private final Channel channel;
  private final BoundedRequestDecoder decoder;
  private final Deque<Exchange> unanswered = new ArrayDeque<>();
  private final Deque<Exchange> unsent = new ArrayDeque<>();
  private Inbound inbound = Inbound.HEAD;

  /** Request whose body is being received; null if there is none. */
  private Exchange incoming;

  /** Whether the data that is being decoded completed a head or ended a request. */
  private boolean messageDecoded;

  private long headBytes;

  /** Header fields of the incomplete head whose cost is part of {@link #headCost}. */
  private int countedFields;

  private long headCost;
  private long retainedCost;
  private long discardedBytes;
  private boolean refused;
  private boolean closed;
  private long activityNanos;

  /** Time since which a request or the rest of one is incomplete, if {@link #receiving}. */
  private long receivingNanos;

  private boolean receiving;

  ConnectionGuard(PortGuard port, Channel channel, BoundedRequestDecoder decoder, long nanos) {
    this.port = port;
    this.channel = channel;
    this.decoder = decoder;
    this.activityNanos = nanos;
  }

  /** Returns whether the connection was admitted within the memory budget. */
  boolean open() {
    return port.reserve(this, CONNECTION_COST);
  }

  /** Closes the connection and releases its memory. */
  void close() {
    if (!closed) {
      release();
      PortGuard.closeNow(channel);
    }
  }

  private void release() {
    if (closed) {
      return;
    }
    closed = true;
    long cost = CONNECTION_COST + headCost + retainedCost;
    for (Exchange exchange : unanswered) {
      cost += exchange.cost;
    }
    for (Exchange exchange : unsent) {
      cost += exchange.cost;
    }
    unanswered.clear();
    unsent.clear();
    port.remove(this, cost);
  }

  private void closeBy(PortLimit limit) {
    port.count(limit);
    close();
  }

  /** Closes the connection if it made no progress in time. */
  void checkTimeouts(long nanos, PortLimits limits) {
    if (receiving) {
      long age = nanos - receivingNanos;
      if (inbound == Inbound.DISCARD) {
        if (age > LINGER_TIME.toNanos()) {
          close();
        }
      } else if (inbound == Inbound.HEAD && age > limits.headerTimeout().toNanos()) {
        closeBy(PortLimit.HEADER_TIMEOUT);
      } else if (inbound == Inbound.BODY && age > limits.bodyTimeout().toNanos()) {
        closeBy(PortLimit.BODY_TIMEOUT);
      }
    }
    if (!unsent.isEmpty()
        && nanos - unsent.peek().answeredNanos > limits.writeTimeout().toNanos()) {
      closeBy(PortLimit.WRITE_TIMEOUT);
    }
    if (isIdle() && nanos - activityNanos > limits.idleTimeout().toNanos()) {
      closeBy(PortLimit.IDLE_TIMEOUT);
    }
  }

  /** Returns whether the connection has no request. */
  boolean isIdle() {
    return !receiving && unanswered.isEmpty() && unsent.isEmpty();
  }

  /** Returns for how long the client has not completed a request or not read a response. */
  long stalledNanos(long nanos) {
    long stalled = receiving ? nanos - receivingNanos : 0;
    return unsent.isEmpty() ? stalled : Math.max(stalled, nanos - unsent.peek().answeredNanos);
  }

  /** Returns for how long the connection has received and sent nothing. */
  long inactiveNanos(long nanos) {
    return nanos - activityNanos;
  }

  void beforeDecoding(int bytes) {
    activityNanos = System.nanoTime();
    messageDecoded = false;
    headBytes += bytes;
  }

  void afterDecoding(int bytes) {
    if (closed || inbound != Inbound.HEAD) {
      return;
    }
    if (messageDecoded) {
      headBytes = 0;
      return;
    }
    startReceiving();
    int fields = decoder.fields();
    long cost = (long) bytes * HEAD_COPIES + (fields - countedFields) * FIELD_COST;
    if (port.reserve(this, cost)) {
      headCost += cost;
      countedFields = fields;
    } else {
      closeBy(PortLimit.MEMORY);
    }
  }

  private void startReceiving() {
    if (!receiving) {
      receiving = true;
      receivingNanos = activityNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (closed) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request && !readHead(context, request)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpContent content) {
      readContent(context, content);
    } else {
      context.fireChannelRead(message);
    }
  }

  /** Returns whether the request is passed to the server. */
  private boolean readHead(ChannelHandlerContext context, HttpRequest request) {
    messageDecoded = true;
    if (refused) {
      return false;
    }
    port.release(headCost);
    headCost = 0;
    countedFields = 0;
    int fields = decoder.fields();
    decoder.resetFields();
    inbound = Inbound.BODY;
    receiving = false;
    startReceiving();
    discardedBytes = 0;
    if (unanswered.size() + unsent.size() >= port.limits().maxRequests()) {
      closeBy(PortLimit.PIPELINED_REQUESTS);
      return false;
    }
    if (request.decoderResult().isSuccess() && declaredLength(request) > port.maxBodyBytes()) {
      refuse(context, PortLimit.BODY_BYTES, ErrorKind.BODY_TOO_LARGE);
      return false;
    }
    long cost =
        REQUEST_COST
            + fields * FIELD_COST
            + Math.min(headBytes, PortGuard.MAX_HEADER_BYTES) * HEAD_COPIES;
    if (!port.reserve(this, cost)) {
      refuse(context, PortLimit.MEMORY, ErrorKind.OVERLOADED);
      return false;
    }
    incoming = new Exchange();
    incoming.cost = cost;
    unanswered.add(incoming);
    return true;
  }

  private static long declaredLength(HttpRequest request) {
    try {
      return HttpUtil.getContentLength(request, 0L);
    } catch (NumberFormatException e) {
      // The server rejects the request.
      return 0;
    }
  }

  private void readContent(ChannelHandlerContext context, HttpContent content) {
    int bytes = content.content().readableBytes();
    boolean last = content instanceof LastHttpContent;
    if (inbound == Inbound.BODY && bytes > 0) {
      incoming.bodyBytes += bytes;
      long cost = (long) bytes * BODY_COPIES;
      if (incoming.bodyBytes > port.maxBodyBytes()) {
        refuse(context, PortLimit.BODY_BYTES, ErrorKind.BODY_TOO_LARGE);
      } else if (port.reserve(this, cost)) {
        incoming.cost += cost;
      } else {
        refuse(context, PortLimit.MEMORY, ErrorKind.OVERLOADED);
      }
    }
    boolean discarding = inbound == Inbound.DISCARD;
    if (last) {
      // Data that ends a body must not count as the start of a head.
      messageDecoded = true;
      receiving = false;
      incoming = null;
      inbound = refused ? Inbound.DISCARD : Inbound.HEAD;
    }
    if (!discarding && !closed) {
      context.fireChannelRead(content);
      return;
    }
    content.release();
    if (closed) {
      return;
    }
    discardedBytes += bytes;
    if (refused && last) {
      var unused = context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> close());
    } else if (last) {
      // The server needs the end of the request to read the next one.
      context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
    } else if (discardedBytes > MAX_DISCARDED_BYTES) {
      close();
    }
  }

  /** Refuses the request whose head or body is being received, and then closes the connection. */
  private void refuse(ChannelHandlerContext context, PortLimit limit, ErrorKind kind) {
    port.count(limit);
    if (incoming != null) {
      // The server holds the part of the body that it has received until the connection is closed.
      retainedCost += incoming.cost;
      unanswered.remove(incoming);
      incoming = null;
    }
    if (!unanswered.isEmpty()) {
      // Earlier requests would have to be answered first.
      close();
      return;
    }
    refused = true;
    inbound = Inbound.DISCARD;
    receivingNanos = activityNanos;
    receiving = true;
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(kind.httpStatus()),
            Unpooled.wrappedBuffer(port.refusalBody(kind)));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (kind == ErrorKind.OVERLOADED) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
    }
    boolean closeAtOnce = limit == PortLimit.MEMORY && retainedCost > 0;
    var unused =
        context
            .writeAndFlush(response)
            .addListener(
                written -> {
                  // A partial body is not kept for the sake of the response if memory is short.
                  if (closeAtOnce || !written.isSuccess()) {
                    close();
                  }
                });
  }

  @Override
  @SuppressWarnings("FutureReturnValueIgnored")
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (refused || closed) {
      ReferenceCountUtil.release(message);
      promise.tryFailure(new ClosedChannelException());
      return;
    }
    Exchange answered = isFinal(message) ? unanswered.poll() : null;
    if (answered == null) {
      context.write(message, promise);
      return;
    }
    if (answered == incoming) {
      incoming = null;
      inbound = Inbound.DISCARD;
      receivingNanos = System.nanoTime();
    }
    int bytes = ((LastHttpContent) message).content().readableBytes();
    port.add(bytes);
    answered.cost += bytes;
    answered.answeredNanos = System.nanoTime();
    unsent.add(answered);
    context
        .write(message, promise.unvoid())
        .addListener(
            written -> {
              OutOfMemoryExit.check(written.cause());
              activityNanos = System.nanoTime();
              if (unsent.remove(answered)) {
                port.release(answered.cost);
              }
            });
  }

  /** Returns whether a message ends the response to a request. */
  private static boolean isFinal(Object message) {
    return message instanceof LastHttpContent
        && !(message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    release();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    OutOfMemoryExit.check(cause);
    context.fireExceptionCaught(cause);
  }
}
