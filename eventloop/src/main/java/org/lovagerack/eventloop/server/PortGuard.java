package org.lovagerack.eventloop.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Applies limits to the connections of one port. If a limit is reached, the connection whose client
 * has stalled longest makes room for the new one, so that stalled clients do not shut out others.
 */
public final class PortGuard {

  /** Maximum size of the head of a request; larger heads are rejected by the HTTP codec. */
  public static final int MAX_HEADER_BYTES = 16_384;

  /** Coarse, because one check for all connections replaces timers of each request. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(500);

  /** Longer than a client on a busy machine takes between two packets of one request. */
  private static final Duration MIN_STALL = Duration.ofSeconds(1);

  private static final EventLog LOG = new EventLog(PortGuard.class);

  private final String name;
  private final PortLimits limits;
  private final IntSupplier maxBodyBytes;
  private final MemoryBudget budget;
  private final Function<ErrorKind, byte[]> refusalBody;
  private final Set<ConnectionGuard> connections = new LinkedHashSet<>();
  private final Map<PortLimit, Long> counts = new EnumMap<>(PortLimit.class);

  /** Counts since the last check, which are logged together. */
  private final Map<PortLimit, Long> newCounts = new EnumMap<>(PortLimit.class);

  /**
   * Creates a guard without connections.
   *
   * @param name name of the port in log lines
   * @param maxBodyBytes maximum size of the body of a request
   * @param budget memory of the clients of this port
   * @param refusalBody body of a response that refuses a request
   */
  public PortGuard(
      String name,
      TimerService timer,
      PortLimits limits,
      IntSupplier maxBodyBytes,
      MemoryBudget budget,
      Function<ErrorKind, byte[]> refusalBody) {
    this.name = name;
    this.limits = limits;
    this.maxBodyBytes = maxBodyBytes;
    this.budget = budget;
    this.refusalBody = refusalBody;
    timer.every(CHECK_PERIOD, this::check);
  }

  /** Returns options of a server whose connections can be guarded. */
  public static HttpServerOptions serverOptions() {
    // The limits apply to HTTP/1.1, so a connection must not switch to another protocol.
    return new HttpServerOptions()
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setHttp2ClearTextEnabled(false);
  }

  /** Applies the limits to a new connection; must be called before it receives data. */
  public void accept(HttpConnection connection) {
    ChannelPipeline pipeline =
        ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    BoundedRequestDecoder decoder =
        new BoundedRequestDecoder(serverOptions(), limits.maxHeaderFields());
    ConnectionGuard guard =
        new ConnectionGuard(this, pipeline.channel(), decoder, System.nanoTime());
    if (connections.size() >= limits.maxConnections()) {
      count(PortLimit.CONNECTIONS);
      if (!evict(guard, true)) {
        closeNow(pipeline.channel());
        return;
      }
    }
    if (!guard.open()) {
      count(PortLimit.MEMORY);
      closeNow(pipeline.channel());
      return;
    }
    connections.add(guard);
    pipeline.replace("httpDecoder", "httpDecoder", decoder);
    pipeline.addFirst("readMeter", new ReadMeter(guard));
    pipeline.addBefore("handler", "guard", guard);
  }

  /**
   * Closes a channel without the server's handler, which first waits until pending responses were
   * sent.
   */
  static void closeNow(Channel channel) {
    var unused = channel.pipeline().firstContext().close();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Returns how often a limit closed a connection or refused a request. */
  public long limitCount(PortLimit limit) {
    return counts.getOrDefault(limit, 0L);
  }

  void count(PortLimit limit) {
    counts.merge(limit, 1L, Long::sum);
    newCounts.merge(limit, 1L, Long::sum);
  }

  PortLimits limits() {
    return limits;
  }

  int maxBodyBytes() {
    return maxBodyBytes.getAsInt();
  }

  byte[] refusalBody(ErrorKind kind) {
    return refusalBody.apply(kind);
  }

  /** Reserves memory, if necessary by closing stalled connections other than the given one. */
  boolean reserve(ConnectionGuard connection, long bytes) {
    while (!budget.tryReserve(bytes)) {
      if (!evict(connection, false)) {
        return false;
      }
      count(PortLimit.MEMORY);
    }
    return true;
  }

  void add(long bytes) {
    budget.add(bytes);
  }

  void release(long bytes) {
    budget.release(bytes);
  }

  void remove(ConnectionGuard connection, long bytes) {
    budget.release(bytes);
    connections.remove(connection);
  }

  /** Closes the connection that has stalled longest, or else, if allowed, the longest idle one. */
  private boolean evict(ConnectionGuard except, boolean idleToo) {
    long now = System.nanoTime();
    ConnectionGuard victim = null;
    long longest = MIN_STALL.toNanos();
    ConnectionGuard idle = null;
    long longestIdle = MIN_STALL.toNanos();
    for (ConnectionGuard connection : connections) {
      long stalled = connection.stalledNanos(now);
      if (stalled > longest && connection != except) {
        victim = connection;
        longest = stalled;
      } else if (connection.isIdle() && connection.inactiveNanos(now) > longestIdle) {
        idle = connection;
        longestIdle = connection.inactiveNanos(now);
      }
    }
    ConnectionGuard chosen = victim == null && idleToo ? idle : victim;
    if (chosen == null) {
      return false;
    }
    chosen.close();
    return true;
  }

  private void check() {
    long now = System.nanoTime();
    List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now, limits));
    // Idle connections are closed in normal operation.
    newCounts.remove(PortLimit.IDLE_TIMEOUT);
    newCounts.forEach(
        (limit, count) ->
            LOG.write(
                LogEvent.CLIENT_LIMITED,
                "port",
                name,
                "limit",
                limit.label(),
                "count",
                count,
                "connections",
                connections.size(),
                "memory",
                budget.used()));
    newCounts.clear();
  }
}
