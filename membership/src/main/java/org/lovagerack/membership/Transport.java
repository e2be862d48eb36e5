package org.lovagerack.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;

/** Opens and accepts connections with Netty and passes their events to the event loop. */
final class Transport {

  /** Time limit for connecting and for the handshake together. */
  static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(5);

  private final TimerService timer;
  private final Executor eventLoop;
  private final PeerNetworkSettings settings;
  private final SecureRandom nonces;
  private final HandshakeProof proofs;
  private final UnauthenticatedConnections unauthenticated;
  private final AtomicLong rejections = new AtomicLong();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private volatile PeerIdentity self;
  private Channel serverChannel;

  Transport(
      TimerService timer, Executor eventLoop, PeerNetworkSettings settings, SecureRandom nonces) {
    this.timer = timer;
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.nonces = nonces;
    this.proofs = new HandshakeProof(settings.clusterKey());
    this.unauthenticated = new UnauthenticatedConnections(settings.maxUnauthenticatedConnections());
  }

  /** Listens; completes on the event loop with the own address including the actual port. */
  CompletableFuture<String> listen(Connection.Listener connectionListener) {
    CompletableFuture<String> result = new CompletableFuture<>();
    // Auto-read is off so that no connection is accepted before the own address is known.
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(channel -> accepted(channel, connectionListener)))
            .bind(PeerAddress.parse(settings.listenAddress()));
    bound.addListener(
        future ->
            eventLoop.execute(
                () -> {
                  if (future.isSuccess()) {
                    result.complete(listening(bound.channel()));
                  } else {
                    result.completeExceptionally(future.cause());
                  }
                }));
    return result;
  }

  private String listening(Channel channel) {
    serverChannel = channel;
    String configured = settings.advertisedAddress().orElse(settings.listenAddress());
    String address = PeerAddress.withActualPort(configured, listeningPort());
    self = new PeerIdentity(settings.failureDomain(), address, settings.incarnation());
    channel.config().setAutoRead(true);
    return address;
  }

  /** Starts a connection attempt. */
  Connection dial(String address, Connection.Listener listener) {
    Connection connection = new Connection(timer, listener, "to " + address, rejections);
    ChannelFuture made =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                initializer(
                    channel -> prepare(channel, connection, Optional.of(address), () -> {})))
            .connect(PeerAddress.parse(address));
    connection.attach(made.channel());
    made.addListener(
        future -> {
          if (!future.isSuccess()) {
            eventLoop.execute(() -> connection.onConnectFailed(future.cause()));
          }
        });
    timer.after(
        HANDSHAKE_TIMEOUT,
        () -> {
          if (!connection.authenticated()) {
            connection.close("no handshake within " + HANDSHAKE_TIMEOUT);
          }
        });
    return connection;
  }

  private void accepted(Channel channel, Connection.Listener listener) {
    boolean withinLimit = unauthenticated.add();
    Runnable release = unauthenticated.releaseAction();
    channel.closeFuture().addListener(closed -> release.run());
    Connection connection =
        new Connection(timer, listener, "from " + channel.remoteAddress(), rejections);
    connection.attach(channel);
    if (!withinLimit) {
      eventLoop.execute(() -> connection.reject("too many unauthenticated connections"));
      Connection.closeChannel(channel);
      return;
    }
    prepare(channel, connection, Optional.empty(), release);
    eventLoop.execute(
        () -> timer.after(HANDSHAKE_TIMEOUT, () -> rejectUnlessAuthenticated(connection)));
  }

  private static void rejectUnlessAuthenticated(Connection connection) {
    if (!connection.authenticated()) {
      connection.reject("no handshake within " + HANDSHAKE_TIMEOUT);
    }
  }

  private void prepare(
      Channel channel, Connection connection, Optional<String> dialed, Runnable onAuthenticated) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    nonces.nextBytes(nonce);
    Handshake handshake = new Handshake(proofs, self, nonce, dialed);
    FrameDecoder decoder = new FrameDecoder();
    Runnable authenticated =
        () -> {
          decoder.setLimit(settings.maxFrameBytes());
          onAuthenticated.run();
        };
    channel
        .pipeline()
        .addLast(
            decoder,
            new FrameEncoder(),
            new ConnectionHandler(connection, handshake, eventLoop, authenticated));
  }

  private static ChannelInitializer<Channel> initializer(Consumer<Channel> action) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        action.accept(channel);
      }
    };
  }

  int listeningPort() {
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  long rejections() {
    return rejections.get();
  }

  /** Stops listening and ends Netty's threads, which closes open connections. */
  CompletableFuture<Void> close() {
    if (serverChannel != null) {
      Connection.closeChannel(serverChannel);
    }
    CompletableFuture<Void> result = new CompletableFuture<>();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .addListener(done -> eventLoop.execute(() -> result.complete(null)));
    return result;
  }
}
