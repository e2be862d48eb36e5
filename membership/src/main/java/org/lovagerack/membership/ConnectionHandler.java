package org.lovagerack.membership;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.Executor;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/**
 * Runs the handshake of one connection on Netty's thread and passes everything after it to the
 * event loop, so that an unproven connection puts no load on the event loop.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {

  private final Connection connection;
  private final Handshake handshake;
  private final Executor eventLoop;
  private final Runnable whenProven;
  private boolean broken;

  ConnectionHandler(
      Connection connection, Handshake handshake, Executor eventLoop, Runnable whenProven) {
    this.connection = connection;
    this.handshake = handshake;
    this.eventLoop = eventLoop;
    this.whenProven = whenProven;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    send(context, handshake.challenge());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws LovagerackException {
    if (broken) {
      return;
    }
    if (handshake.finished()) {
      eventLoop.execute(() -> connection.received(frame));
      return;
    }
    handshake.receive(frame).ifPresent(answer -> send(context, answer));
    if (handshake.finished()) {
      whenProven.run();
      PeerIdentity remote = handshake.remote();
      eventLoop.execute(() -> connection.proven(remote));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    eventLoop.execute(() -> connection.lost("the connection was closed"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    broken = true;
    eventLoop.execute(() -> connection.failed(cause));
    Connection.close(context.channel());
  }

  // With the void promise a failed write reaches exceptionCaught.
  @SuppressWarnings("FutureReturnValueIgnored")
  private static void send(ChannelHandlerContext context, Frame frame) {
    context.writeAndFlush(frame, context.voidPromise());
  }
}
