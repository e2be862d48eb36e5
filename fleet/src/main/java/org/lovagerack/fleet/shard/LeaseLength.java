package org.lovagerack.fleet.shard;

import java.time.Duration;

/** Computes the duration of a shard's lease from the latency of the store. */
final class LeaseLength {

  /**
   * Minimum lease duration, measured from sending the transaction. A short lease limits the time
   * during which a shard has no owner after its owner has failed.
   */
  static final Duration MIN_DURATION = Duration.ofMillis(400);

  /** Maximum lease duration, used when the store is slow. */
  static final Duration MAX_DURATION = Duration.ofSeconds(3);

  /**
   * Transactions that fit into one lease, so that the lease can be renewed when the store is slow.
   */
  private static final int TRANSACTIONS_PER_LEASE = 6;

  /** Fraction by which each transaction reduces the recorded peak latency. */
  private static final double LATENCY_DECAY = 0.1;

  private Duration latency = Duration.ZERO;

  /** Records the duration of a transaction. */
  void observe(Duration observed) {
    Duration decayed = Duration.ofNanos((long) (latency.toNanos() * (1 - LATENCY_DECAY)));
    latency = observed.compareTo(decayed) > 0 ? observed : decayed;
  }

  /** Returns the duration of the next lease. */
  Duration next() {
    Duration wanted = latency.multipliedBy(TRANSACTIONS_PER_LEASE);
    return wanted.compareTo(MIN_DURATION) < 0 ? MIN_DURATION : shorter(wanted, MAX_DURATION);
  }

  static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }
}
