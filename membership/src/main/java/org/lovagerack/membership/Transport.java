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

/** Makes and accepts connections with Netty; what arrives on them is passed to the event loop. */
final class Transport {

  /** Time that a connection has for being made and for its handshake. */
  static final Duration HANDSHAKE_LIMIT = Duration.ofSeconds(5);

  private final TimerService timer;
  private final Executor eventLoop;
  private final PeerNetworkSettings settings;
  private final SecureRandom nonces;
  private final HandshakeProof proofs;
  private final UnprovenConnections unproven;
  private final AtomicLong rejections = new AtomicLong();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private volatile PeerIdentity self;
  private Channel listener;

  Transport(
      TimerService timer, Executor eventLoop, PeerNetworkSettings settings, SecureRandom nonces) {
    this.timer = timer;
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.nonces = nonces;
    this.proofs = new HandshakeProof(settings.clusterKey());
    this.unproven = new UnprovenConnections(settings.maxUnprovenConnections());
  }

  /** Listens and returns, on the event loop, the own address with the actual port. */
  CompletableFuture<String> listen(Connection.Owner owner) {
    CompletableFuture<String> result = new CompletableFuture<>();
    // Without auto-read no connection is accepted before the own address is known.
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(channel -> accepted(channel, owner)))
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
    listener = channel;
    String configured = settings.advertisedAddress().orElse(settings.listenAddress());
    String address = PeerAddress.withActualPort(configured, listeningPort());
    self = new PeerIdentity(settings.failureDomain(), address, settings.incarnation());
    channel.config().setAutoRead(true);
    return address;
  }

  /** Starts to make a connection. */
  Connection dial(String address, Connection.Owner owner) {
    Connection connection = new Connection(timer, owner, "to " + address, rejections);
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
            eventLoop.execute(() -> connection.connectFailed(future.cause()));
          }
        });
    timer.after(
        HANDSHAKE_LIMIT,
        () -> {
          if (!connection.proven()) {
            connection.shut("no handshake within " + HANDSHAKE_LIMIT);
          }
        });
    return connection;
  }

  private void accepted(Channel channel, Connection.Owner owner) {
    boolean withinLimit = unproven.add();
    Runnable release = unproven.slot();
    channel.closeFuture().addListener(closed -> release.run());
    Connection connection =
        new Connection(timer, owner, "from " + channel.remoteAddress(), rejections);
    connection.attach(channel);
    if (!withinLimit) {
      eventLoop.execute(() -> connection.reject("too many unproven connections"));
      Connection.close(channel);
      return;
    }
    prepare(channel, connection, Optional.empty(), release);
    eventLoop.execute(() -> timer.after(HANDSHAKE_LIMIT, () -> rejectUnlessProven(connection)));
  }

  private static void rejectUnlessProven(Connection connection) {
    if (!connection.proven()) {
      connection.reject("no handshake within " + HANDSHAKE_LIMIT);
    }
  }

  private void prepare(
      Channel channel, Connection connection, Optional<String> dialed, Runnable whenProven) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    nonces.nextBytes(nonce);
    Handshake handshake = new Handshake(proofs, self, nonce, dialed);
    FrameDecoder decoder = new FrameDecoder();
    Runnable proven =
        () -> {
          decoder.raiseLimit(settings.maxFrameBytes());
          whenProven.run();
        };
    channel
        .pipeline()
        .addLast(
            decoder,
            new FrameEncoder(),
            new ConnectionHandler(connection, handshake, eventLoop, proven));
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
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  long rejections() {
    return rejections.get();
  }

  /** Stops listening and ends Netty's threads; open connections are closed with them. */
  CompletableFuture<Void> close() {
    if (listener != null) {
      Connection.close(listener);
    }
    CompletableFuture<Void> result = new CompletableFuture<>();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .addListener(done -> eventLoop.execute(() -> result.complete(null)));
    return result;
  }
}
