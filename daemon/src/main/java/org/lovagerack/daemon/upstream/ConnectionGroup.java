package org.lovagerack.daemon.upstream;

import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Tracks the pooled connections to one upstream and which of them carry an attempt. */
final class ConnectionGroup {

  private final Set<HttpConnection> open = new HashSet<>();
  private final Set<HttpConnection> busy = new HashSet<>();
  private int limit = Integer.MAX_VALUE;
  private int activeAttempts;
  private boolean closing;

  void limit(int connections) {
    limit = connections;
  }

  /** Counts one more attempt, or returns false if the limit of connections is reached. */
  boolean tryAcquire() {
    if (activeAttempts >= limit) {
      return false;
    }
    activeAttempts++;
    return true;
  }

  void release() {
    activeAttempts--;
  }

  void add(HttpConnection connection) {
    open.add(connection);
  }

  void remove(HttpConnection connection) {
    open.remove(connection);
    busy.remove(connection);
  }

  void markBusy(HttpConnection connection) {
    busy.add(connection);
  }

  void markIdle(HttpConnection connection) {
    busy.remove(connection);
    if (closing) {
      connection.close();
    }
  }

  void closeIdle() {
    for (HttpConnection connection : List.copyOf(open)) {
      if (!busy.contains(connection)) {
        connection.close();
      }
    }
  }

  void closeWhenIdle() {
    closing = true;
    closeIdle();
  }
}
