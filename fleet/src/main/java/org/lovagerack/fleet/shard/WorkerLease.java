package org.lovagerack.fleet.shard;

import java.util.OptionalLong;
import org.lovagerack.foundation.timer.TimerService;

/**
 * What an owner must assume of the lease that a worker grants to its runs. Another owner may have
 * extended it until the worker reported under this owner's token; from that report on, the worker
 * rejects the requests of owners with a lower token. A worker process that has restarted, and one
 * that an island has used under a higher token, accept requests of others again until their next
 * report.
 */
final class WorkerLease {

  private final TimerService timer;
  private final FleetBounds bounds;
  private long reportedToken;
  private long reportedIncarnation;

  /**
   * Latest monotonic time at which any owner can have extended the lease; empty before the first
   * report.
   */
  private OptionalLong lastExtensionNanos = OptionalLong.empty();

  WorkerLease(TimerService timer, FleetBounds bounds) {
    this.timer = timer;
    this.bounds = bounds;
  }

  /**
   * Records a report.
   *
   * @param token token under which the report was requested
   * @param incarnation worker process that sent it
   */
  void reported(long token, long incarnation) {
    boolean sameTerm = token == reportedToken && incarnation == reportedIncarnation;
    if (lastExtensionNanos.isEmpty() || !sameTerm) {
      lastExtensionNanos = OptionalLong.of(timer.nanoTime());
    }
    reportedToken = token;
    reportedIncarnation = incarnation;
  }

  /** Records an extension by this owner and returns its deadline on the worker's clock, ms. */
  long extend(WorkerClock clock) {
    lastExtensionNanos = OptionalLong.of(timer.nanoTime());
    return clock.minimumMillis() + bounds.maxWorkerLease().toMillis();
  }

  /** Returns whether the lease has certainly expired on the worker, whoever extended it. */
  boolean expired() {
    return lastExtensionNanos.isPresent()
        && timer.nanoTime() - lastExtensionNanos.getAsLong()
            > bounds.workerLeaseExpiryBound().toNanos();
  }
}
