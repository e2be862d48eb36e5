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

/** Connections to one address. Of the idle ones, the one that was used last is used first. */
final class ConnectionPool {

  private final InetSocketAddress address;
  private final int limit;
  private final Bootstrap bootstrap;
  private final ContextInternal context;
  private final Deque<HttpConnection> idle = new ArrayDeque<>();
  private final Deque<HttpCall> waiting = new ArrayDeque<>();

  /** Connections that are open or are being opened. */
  private int open;

  /** Connections that are being opened. */
  private int opening;

  /**
   * Creates a pool without connections.
   *
   * @param address IP number and port
   * @param limit largest number of open connections
   * @param context context of the callbacks
   */
  ConnectionPool(String address, int limit, Bootstrap bootstrap, ContextInternal context) {
    int colon = address.lastIndexOf(':');
    try {
      // An IP number is not looked up.
      InetAddress host = InetAddress.getByName(address.substring(0, colon));
      this.address = new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP number and port: " + address, e);
    }
    this.limit = limit;
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

  /** Sends a call on an idle connection, or when there is one. */
  void send(HttpCall call) {
    HttpConnection connection = idle.pollLast();
    if (connection != null) {
      connection.send(call);
      return;
    }
    waiting.add(call);
    connectIfNeeded();
  }

  /** Removes a call that waits. */
  void remove(HttpCall call) {
    waiting.remove(call);
  }

  /** A connection has nothing under way. */
  void released(HttpConnection connection) {
    HttpCall next = waiting.poll();
    if (next == null) {
      idle.add(connection);
    } else {
      connection.send(next);
    }
  }

  /** A connection is closed. */
  void closed(HttpConnection connection) {
    open--;
    idle.remove(connection);
    connectIfNeeded();
  }

  /** Returns whether there is neither a connection nor a call. */
  boolean isUnused() {
    return open == 0 && waiting.isEmpty();
  }

  /** Closes connections that were not used for a time. */
  void closeIdle(Duration time) {
    while (!idle.isEmpty() && idle.peekFirst().idleFor(time)) {
      idle.pollFirst().reset();
    }
  }

  private void connectIfNeeded() {
    if (opening >= waiting.size() || open >= limit) {
      return;
    }
    open++;
    opening++;
    bootstrap
        .connect(address)
        .addListener((ChannelFuture connected) -> context.dispatch(() -> connected(connected)));
  }

  private void connected(ChannelFuture connected) {
    opening--;
    if (connected.isSuccess()) {
      HttpConnection connection = new HttpConnection(connected.channel(), this, context);
      connected.channel().pipeline().addLast(connection);
      released(connection);
      return;
    }
    open--;
    String reason = String.valueOf(connected.cause().getMessage());
    HttpCall failed = waiting.poll();
    if (failed != null) {
      failed.notSent(reason);
    }
    connectIfNeeded();
  }
}
