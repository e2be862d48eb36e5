package org.lovagerack.fleet.shard;

import org.lovagerack.foundation.timer.TimerService;

/** What an owner must assume of the lease that a worker grants to its runs. */
final class WorkerLease {

  private final TimerService timer;
  private final FleetBounds bounds;
  private long lastExtensionNanos;

  WorkerLease(TimerService timer, FleetBounds bounds) {
    this.timer = timer;
    this.bounds = bounds;
  }

  /** Records an extension by this owner and returns its deadline on the worker's clock, ms. */
  long extend(WorkerClock clock) {
    lastExtensionNanos = timer.nanoTime();
    return clock.minimumMillis() + bounds.maxWorkerLease().toMillis();
  }

  /** Returns whether the lease has expired on the worker, even if it received all extensions. */
  boolean expired() {
    return timer.nanoTime() - lastExtensionNanos > bounds.workerLeaseExpiryBound().toNanos();
  }
}
