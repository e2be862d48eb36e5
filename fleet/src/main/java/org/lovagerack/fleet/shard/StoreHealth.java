package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Tracks the availability of the store for an owner's transactions, their timeout and backoff. */
final class StoreHealth {

  /** Many times the latency of a healthy store, which is a few milliseconds. */
  private static final Duration INITIAL_TIMEOUT = Duration.ofMillis(300);

  private static final Duration MAX_TIMEOUT = Duration.ofMillis(2400);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(30);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(240);
  private static final int MAX_DOUBLINGS = 3;

  /** Consecutive unanswered transactions after which new jobs are refused. */
  private static final int UNANSWERED_LIMIT = 2;

  private static final EventLog LOG = new EventLog(StoreHealth.class);

  private final String partition;
  private int consecutiveFailures;
  private boolean available = true;
  private Duration timeout = INITIAL_TIMEOUT;

  /**
   * Creates the state of an available store.
   *
   * @param partition partition of the transactions, for log events
   */
  StoreHealth(String partition) {
    this.partition = partition;
  }

  boolean available() {
    return available;
  }

  /** Returns the timeout of the next transaction. */
  Duration timeout() {
    return timeout;
  }

  /** Records that a transaction was answered, with the version of the lease row. */
  void answered(long leaseVersion) {
    consecutiveFailures = 0;
    timeout = INITIAL_TIMEOUT;
    if (!available) {
      available = true;
      LOG.write(LogEvent.PLATFORM_RECOVERED, "partition", partition, "version", leaseVersion);
    }
  }

  /**
   * Records that a transaction failed.
   *
   * @param unknown whether it may have been applied
   * @return delay before the next attempt
   */
  Duration failed(String reason, boolean unknown) {
    consecutiveFailures++;
    if (available && (!unknown || consecutiveFailures >= UNANSWERED_LIMIT)) {
      available = false;
      LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "partition", partition, "reason", reason);
    }
    if (unknown) {
      timeout = LeaseLength.shorter(timeout.multipliedBy(2), MAX_TIMEOUT);
    }
    return LeaseLength.shorter(
        INITIAL_BACKOFF.multipliedBy(1L << Math.min(consecutiveFailures - 1, MAX_DOUBLINGS)),
        MAX_BACKOFF);
  }
}
