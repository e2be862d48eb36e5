package org.lovagerack.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.internal.ContextInternal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.lovagerack.foundation.data.SocketAddresses;

/** Pool of connections to one address. Reuses the most recently used idle connection first. */
final class ConnectionPool {

  private final InetSocketAddress address;
  private final int maxConnections;
  private final Bootstrap bootstrap;
  private final ContextInternal context;
  private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();
  private final Deque<HttpCall> queuedCalls = new ArrayDeque<>();

  /** Number of connections that are open or being opened. */
  private int openConnections;

  /** Number of connections that are being opened. */
  private int openingConnections;

  /**
   * Creates a pool without connections.
   *
   * @param address IP address and port
   * @param maxConnections maximum number of open connections
   * @param context context of the callbacks
   * @throws IllegalArgumentException if the address is not an IP address and a port
   */
  ConnectionPool(String address, int maxConnections, Bootstrap bootstrap, ContextInternal context) {
    if (!SocketAddresses.isValid(address)) {
      throw new IllegalArgumentException("not an IP address and port: " + address);
    }
    int colon = address.lastIndexOf(':');
    try {
      // Makes no DNS query, because the host is an IP address.
      InetAddress host = InetAddress.getByName(address.substring(0, colon));
      this.address = new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address and port: " + address, e);
    }
    this.maxConnections = maxConnections;
    this.context = context;
    this.bootstrap =
        bootstrap.handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec());
              }
            });
  }

  /** Sends a call on an idle connection, or queues it until one is available. */
  void send(HttpCall call) {
    HttpConnection connection = idleConnections.pollLast();
    if (connection != null) {
      connection.send(call);
      return;
    }
    queuedCalls.add(call);
    openConnectionIfNeeded();
  }

  /** Removes a queued call. */
  void remove(HttpCall call) {
    queuedCalls.remove(call);
  }

  /** Returns a connection to the pool, which sends the next queued call on it. */
  void release(HttpConnection connection) {
    HttpCall next = queuedCalls.poll();
    if (next == null) {
      idleConnections.add(connection);
    } else {
      connection.send(next);
    }
  }

  /** Removes a connection that was closed. */
  void onClosed(HttpConnection connection) {
    openConnections--;
    idleConnections.remove(connection);
    openConnectionIfNeeded();
  }

  /** Returns whether there are neither connections nor queued calls. */
  boolean isUnused() {
    return openConnections == 0 && queuedCalls.isEmpty();
  }

  /** Closes connections that have been idle for the given time. */
  void closeIdle(Duration duration) {
    while (!idleConnections.isEmpty() && idleConnections.peekFirst().isIdleFor(duration)) {
      idleConnections.pollFirst().reset();
    }
  }

  private void openConnectionIfNeeded() {
    if (openingConnections >= queuedCalls.size() || openConnections >= maxConnections) {
      return;
    }
    openConnections++;
    openingConnections++;
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> context.dispatch(() -> onConnectComplete(connected)));
  }

  private void onConnectComplete(ChannelFuture connected) {
    openingConnections--;
    if (connected.isSuccess()) {
      HttpConnection connection = new HttpConnection(connected.channel(), this, context);
      connected.channel().pipeline().addLast(connection);
      release(connection);
      return;
    }
    OutOfMemoryExit.check(connected.cause());
    openConnections--;
    String reason = String.valueOf(connected.cause().getMessage());
    HttpCall failed = queuedCalls.poll();
    if (failed != null) {
      failed.failUnsent(reason);
    }
    openConnectionIfNeeded();
  }
}
