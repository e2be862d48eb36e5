package org.lovagerack.eventloop.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.lovagerack.eventloop.OutOfMemoryExit;

/** Reports the bytes that a connection receives, before they are decoded. */
final class ReadMeter extends ChannelInboundHandlerAdapter {

  private final ConnectionGuard guard;

  ReadMeter(ConnectionGuard guard) {
    this.guard = guard;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
    guard.beforeDecoding(bytes);
    context.fireChannelRead(message);
    guard.afterDecoding(bytes);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    OutOfMemoryExit.check(cause);
    context.fireExceptionCaught(cause);
  }
}
