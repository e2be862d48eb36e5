package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;

/** Connection pool of one entry VM for one upstream. */
final class FakePool {

  private static final long IDLE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

  private final FakeTransport transport;
  private final FakeUpstream upstream;
  private final Set<Connection> openConnections = new HashSet<>();
  private final Deque<Connection> idleConnections = new ArrayDeque<>();
  private final Queue<FakeAttempt> waitingAttempts = new ArrayDeque<>();
  private int maxConnections;

  FakePool(FakeTransport transport, FakeUpstream upstream, int maxConnections) {
    this.transport = transport;
    this.upstream = upstream;
    this.maxConnections = maxConnections;
  }

  /** A connection of the pool. */
  static final class Connection {
    private boolean unresponsive;
    private long idleSinceNanos;
  }

  void start(FakeAttempt attempt, boolean fresh) {
    Connection idleConnection = fresh ? null : takeIdle();
    if (idleConnection != null) {
      send(attempt, idleConnection);
    } else if (openConnections.size() < maxConnections) {
      connect(attempt);
    } else if (maxConnections == 0) {
      transport.onLoopAfter(Duration.ZERO, () -> attempt.failNotSent("the pool is closed"));
    } else if (fresh && !idleConnections.isEmpty()) {
      openConnections.remove(idleConnections.removeFirst());
      connect(attempt);
    } else {
      waitingAttempts.add(attempt);
    }
  }

  void setMaxConnections(int connections) {
    maxConnections = connections;
    if (connections == 0) {
      closeIdle();
    }
  }

  void closeIdle() {
    openConnections.removeAll(idleConnections);
    idleConnections.clear();
    startWaiting();
  }

  void makeUnresponsive() {
    openConnections.forEach(connection -> connection.unresponsive = true);
  }

  /** Returns a connection to the pool after a complete answer. */
  void release(Connection connection) {
    if (openConnections.contains(connection)) {
      connection.idleSinceNanos = transport.nanoTime();
      idleConnections.addLast(connection);
      startWaiting();
    }
  }

  void close(Connection connection) {
    openConnections.remove(connection);
    startWaiting();
  }

  void removeWaiting(FakeAttempt attempt) {
    waitingAttempts.remove(attempt);
  }

  void onLoopAfterLatency(Runnable callback) {
    transport.onLoopAfter(Workload.UPSTREAM_LATENCY, callback);
  }

  boolean isUnresponsive(Connection connection) {
    return connection.unresponsive;
  }

  private Connection takeIdle() {
    closeExpired();
    return idleConnections.pollLast();
  }

  /** Closes idle connections that timed out, or all of them if the upstream crashed. */
  private void closeExpired() {
    long oldestIdleNanos = transport.nanoTime() - IDLE_TIMEOUT_NANOS;
    while (!idleConnections.isEmpty()
        && (upstream.crashed() || idleConnections.peekFirst().idleSinceNanos < oldestIdleNanos)) {
      openConnections.remove(idleConnections.removeFirst());
    }
  }

  private void connect(FakeAttempt attempt) {
    Connection connection = new Connection();
    openConnections.add(connection);
    attempt.onConnecting(connection);
    Duration roundTrip = Workload.UPSTREAM_LATENCY.multipliedBy(2);
    transport.onLoopAfter(roundTrip, () -> onConnected(attempt, connection));
  }

  private void onConnected(FakeAttempt attempt, Connection connection) {
    if (attempt.finished()) {
      return;
    }
    if (upstream.crashed()) {
      close(connection);
      attempt.failNotSent("connection refused");
    } else {
      send(attempt, connection);
    }
  }

  private void send(FakeAttempt attempt, Connection connection) {
    attempt.onSent(connection);
    transport.afterLatency(
        () -> {
          if (!connection.unresponsive) {
            upstream.receive(attempt);
          }
        });
  }

  private void startWaiting() {
    while (!waitingAttempts.isEmpty()
        && (!idleConnections.isEmpty() || openConnections.size() < maxConnections)) {
      start(waitingAttempts.remove(), false);
    }
  }
}
