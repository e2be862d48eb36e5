package org.lovagerack.fleet.shard;

import java.time.Duration;

/**
 * Bounds that the platform sets.
 *
 * @param longestWorkerLease longest lease that a worker grants
 * @param statusRetention time for which the state of an ended job can be asked for
 */
public record FleetBounds(Duration longestWorkerLease, Duration statusRetention) {

  /** Slack for clocks of workers that run up to 2 % slow, as the platform's pages allow. */
  private static final double CLOCK_DRIFT = 1.02;

  /** Delivery of an order that was sent just before the deadline was computed. */
  private static final Duration DELIVERY = Duration.ofMillis(100);

  /** Returns the time after which a lease has expired on every worker that it was sent to. */
  Duration workerLeaseSurelyOver() {
    return Duration.ofNanos((long) (longestWorkerLease.toNanos() * CLOCK_DRIFT)).plus(DELIVERY);
  }
}
