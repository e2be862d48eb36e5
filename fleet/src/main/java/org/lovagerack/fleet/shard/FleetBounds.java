package org.lovagerack.fleet.shard;

import java.time.Duration;

/**
 * Time limits set by the platform.
 *
 * @param maxWorkerLease maximum duration of the lease that a worker grants
 * @param statusRetention time for which the state of an ended job can be queried
 */
public record FleetBounds(Duration maxWorkerLease, Duration statusRetention) {

  /** Factor for worker clocks, which the platform allows to run up to 2 % slow. */
  private static final double CLOCK_DRIFT_FACTOR = 1.02;

  /** Delivery time of a request sent just before the deadline was computed. */
  private static final Duration DELIVERY_ALLOWANCE = Duration.ofMillis(100);

  /** Returns the time after which a lease has expired on every worker that received it. */
  Duration workerLeaseExpiryBound() {
    return Duration.ofNanos((long) (maxWorkerLease.toNanos() * CLOCK_DRIFT_FACTOR))
        .plus(DELIVERY_ALLOWANCE);
  }
}
