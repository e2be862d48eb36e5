package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.worker.WorkerId;

/**
 * Estimates the speed of each worker from the durations of its runs relative to the callers'
 * estimates. Callers' estimates are off by 40 % and sometimes by a factor of ten. Each observation
 * is therefore clamped and has a small weight in the moving average.
 */
final class WorkerSpeeds {

  /** Weight of a new observation; the average reflects about ten runs. */
  private static final double OBSERVATION_WEIGHT = 0.12;

  private static final double MIN_SPEED = 0.1;
  private static final double MAX_SPEED = 4;

  private final Map<WorkerId, Double> logSpeeds = new HashMap<>();

  /** Records the duration of a successful run. */
  void succeeded(WorkerId worker, Duration estimated, Duration actual) {
    if (estimated.isPositive() && actual.isPositive()) {
      double observed = (double) estimated.toNanos() / actual.toNanos();
      double logObserved = Math.log(Math.min(MAX_SPEED, Math.max(MIN_SPEED, observed)));
      logSpeeds.merge(
          worker,
          OBSERVATION_WEIGHT * logObserved,
          (known, first) -> known + OBSERVATION_WEIGHT * (logObserved - known));
    }
  }

  /** Removes a worker. */
  void remove(WorkerId worker) {
    logSpeeds.remove(worker);
  }

  /** Returns the relative speed of a worker; 1 if it is unknown. */
  double speed(WorkerId worker) {
    return Math.exp(logSpeeds.getOrDefault(worker, 0.0));
  }
}
