package org.lovagerack.fleet.shard;

import java.time.Duration;

/** How long the lease of a shard lasts, which follows the latency of the store. */
final class LeaseLength {

  /**
   * Shortest time for which the owner may act after a transaction was sent. Bounds how long a shard
   * whose owner is silent is without one.
   */
  static final Duration SHORTEST = Duration.ofMillis(400);

  /** Longest lease, for a store that is slow. */
  static final Duration LONGEST = Duration.ofSeconds(3);

  /** A lease lasts for as many transactions, so that it is kept when the store is slow. */
  private static final int TRANSACTIONS_PER_LEASE = 6;

  /** Part of the remembered latency that one transaction forgets. */
  private static final double LATENCY_DECAY = 0.1;

  private Duration latency = Duration.ZERO;

  /** Takes the time that a transaction took. */
  void observe(Duration observed) {
    Duration decayed = Duration.ofNanos((long) (latency.toNanos() * (1 - LATENCY_DECAY)));
    latency = observed.compareTo(decayed) > 0 ? observed : decayed;
  }

  /** Returns how long the next lease is to last. */
  Duration next() {
    Duration wanted = latency.multipliedBy(TRANSACTIONS_PER_LEASE);
    return wanted.compareTo(SHORTEST) < 0 ? SHORTEST : shorter(wanted, LONGEST);
  }

  static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }
}
