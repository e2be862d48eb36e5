package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;

/** Connections of one entry VM to one upstream. */
final class FakePool {

  private static final long IDLE_LIMIT = Duration.ofSeconds(5).toNanos();

  private final FakeTransport transport;
  private final FakeUpstream upstream;
  private final Set<Connection> open = new HashSet<>();
  private final Deque<Connection> idle = new ArrayDeque<>();
  private final Queue<FakeAttempt> waiting = new ArrayDeque<>();
  private int limit;

  FakePool(FakeTransport transport, FakeUpstream upstream, int limit) {
    this.transport = transport;
    this.upstream = upstream;
    this.limit = limit;
  }

  /** One connection. */
  static final class Connection {
    private boolean silent;
    private long idleSinceNanos;
  }

  void start(FakeAttempt attempt, boolean fresh) {
    Connection reused = fresh ? null : pollIdle();
    if (reused != null) {
      send(attempt, reused);
    } else if (open.size() < limit) {
      connect(attempt);
    } else if (limit == 0) {
      transport.onLoopAfter(Duration.ZERO, () -> attempt.notSent("the pool is closed"));
    } else if (fresh && !idle.isEmpty()) {
      open.remove(idle.removeFirst());
      connect(attempt);
    } else {
      waiting.add(attempt);
    }
  }

  void limit(int connections) {
    limit = connections;
    if (connections == 0) {
      closeIdle();
    }
  }

  void closeIdle() {
    open.removeAll(idle);
    idle.clear();
    startWaiting();
  }

  void silence() {
    open.forEach(connection -> connection.silent = true);
  }

  /** Takes the connection back after a whole answer. */
  void release(Connection connection) {
    if (open.contains(connection)) {
      connection.idleSinceNanos = transport.nanoTime();
      idle.addLast(connection);
      startWaiting();
    }
  }

  void close(Connection connection) {
    open.remove(connection);
    startWaiting();
  }

  void forget(FakeAttempt attempt) {
    waiting.remove(attempt);
  }

  void onLoopAfterLatency(Runnable callback) {
    transport.onLoopAfter(Workload.UPSTREAM_LATENCY, callback);
  }

  boolean silent(Connection connection) {
    return connection.silent;
  }

  private Connection pollIdle() {
    closeExpired();
    return idle.pollLast();
  }

  /** Connections to a dead upstream were reset, so they are not reused. */
  private void closeExpired() {
    long oldest = transport.nanoTime() - IDLE_LIMIT;
    while (!idle.isEmpty() && (upstream.dead() || idle.peekFirst().idleSinceNanos < oldest)) {
      open.remove(idle.removeFirst());
    }
  }

  private void connect(FakeAttempt attempt) {
    Connection connection = new Connection();
    open.add(connection);
    attempt.connecting(connection);
    Duration roundTrip = Workload.UPSTREAM_LATENCY.multipliedBy(2);
    transport.onLoopAfter(roundTrip, () -> connected(attempt, connection));
  }

  private void connected(FakeAttempt attempt, Connection connection) {
    if (attempt.closed()) {
      return;
    }
    if (upstream.dead()) {
      close(connection);
      attempt.notSent("connection refused");
    } else {
      send(attempt, connection);
    }
  }

  private void send(FakeAttempt attempt, Connection connection) {
    attempt.sent(connection);
    transport.afterLatency(
        () -> {
          if (!connection.silent) {
            upstream.receive(attempt);
          }
        });
  }

  private void startWaiting() {
    while (!waiting.isEmpty() && (!idle.isEmpty() || open.size() < limit)) {
      start(waiting.remove(), false);
    }
  }
}
