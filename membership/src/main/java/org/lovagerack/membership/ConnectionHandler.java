package org.lovagerack.membership;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.Executor;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/**
 * Runs the handshake of one connection on Netty's thread and passes all later frames to the event
 * loop. An unauthenticated connection therefore puts no load on the event loop.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {

  private final Connection connection;
  private final Handshake handshake;
  private final Executor eventLoop;
  private final Runnable onAuthenticated;
  private boolean failed;

  ConnectionHandler(
      Connection connection, Handshake handshake, Executor eventLoop, Runnable onAuthenticated) {
    this.connection = connection;
    this.handshake = handshake;
    this.eventLoop = eventLoop;
    this.onAuthenticated = onAuthenticated;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    send(context, handshake.challenge());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws LovagerackException {
    if (failed) {
      return;
    }
    if (handshake.finished()) {
      eventLoop.execute(() -> connection.received(frame));
      return;
    }
    handshake.receive(frame).ifPresent(answer -> send(context, answer));
    if (handshake.finished()) {
      onAuthenticated.run();
      PeerIdentity remote = handshake.remote();
      eventLoop.execute(() -> connection.authenticated(remote));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    eventLoop.execute(() -> connection.onDisconnected("the connection was closed"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failed = true;
    eventLoop.execute(() -> connection.onException(cause));
    Connection.closeChannel(context.channel());
  }

  // With the void promise a failed write is reported to exceptionCaught.
  @SuppressWarnings("FutureReturnValueIgnored")
  private static void send(ChannelHandlerContext context, Frame frame) {
    context.writeAndFlush(frame, context.voidPromise());
  }
}
