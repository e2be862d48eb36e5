package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** How the store has answered an owner's transactions, and how the next one is to be made. */
final class StoreHealth {

  /** Many times the few milliseconds of a healthy store. */
  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(300);

  private static final Duration LONGEST_TIMEOUT = Duration.ofMillis(2400);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(30);
  private static final Duration LONGEST_BACKOFF = Duration.ofMillis(240);
  private static final int MOST_DOUBLINGS = 3;

  /** Unanswered transactions after which new work is refused. */
  private static final int UNANSWERED_LIMIT = 2;

  private static final EventLog LOG = new EventLog(StoreHealth.class);

  private final String partition;
  private int consecutiveFailures;
  private boolean available = true;
  private Duration timeout = FIRST_TIMEOUT;

  /**
   * Creates the health of a store that answers.
   *
   * @param partition partition of the transactions, for the logs
   */
  StoreHealth(String partition) {
    this.partition = partition;
  }

  boolean available() {
    return available;
  }

  /** Returns how long the next transaction may take. */
  Duration timeout() {
    return timeout;
  }

  /** A transaction was answered; the lease row then had a version. */
  void answered(long leaseVersion) {
    consecutiveFailures = 0;
    timeout = FIRST_TIMEOUT;
    if (!available) {
      available = true;
      LOG.write(LogEvent.PLATFORM_RECOVERED, "partition", partition, "version", leaseVersion);
    }
  }

  /**
   * A transaction failed.
   *
   * @param unknown whether it may have been applied
   * @return pause before it is made again
   */
  Duration failed(String reason, boolean unknown) {
    consecutiveFailures++;
    if (available && (!unknown || consecutiveFailures >= UNANSWERED_LIMIT)) {
      available = false;
      LOG.write(LogEvent.PLATFORM_UNAVAILABLE, "partition", partition, "reason", reason);
    }
    if (unknown) {
      timeout = LeaseLength.shorter(timeout.multipliedBy(2), LONGEST_TIMEOUT);
    }
    return LeaseLength.shorter(
        FIRST_BACKOFF.multipliedBy(1L << Math.min(consecutiveFailures - 1, MOST_DOUBLINGS)),
        LONGEST_BACKOFF);
  }
}
