package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.worker.WorkerId;

/**
 * Estimates the speed of each worker from the durations of its runs relative to the callers'
 * estimates, and tracks workers whose runs fail repeatedly. Callers' estimates are off by 40 % and
 * sometimes by a factor of ten. Each observation is therefore clamped and has a small weight in the
 * moving average.
 */
final class WorkerSpeeds {

  /** Weight of a new observation; the average reflects about ten runs. */
  private static final double OBSERVATION_WEIGHT = 0.12;

  private static final double MIN_SPEED = 0.1;
  private static final double MAX_SPEED = 4;

  /** Consecutive failures after which a worker is used only if no other is suitable. */
  private static final int FAILURES_UNTIL_UNRELIABLE = 2;

  private final Map<WorkerId, History> histories = new HashMap<>();

  /** Records the duration of a successful run. */
  void succeeded(WorkerId worker, Duration estimated, Duration actual) {
    History history = history(worker);
    history.consecutiveFailures = 0;
    if (estimated.isPositive() && actual.isPositive()) {
      double observed = (double) estimated.toNanos() / actual.toNanos();
      double bounded = Math.min(MAX_SPEED, Math.max(MIN_SPEED, observed));
      history.logSpeed += OBSERVATION_WEIGHT * (Math.log(bounded) - history.logSpeed);
    }
  }

  /** Records a failed run. */
  void failed(WorkerId worker) {
    history(worker).consecutiveFailures++;
  }

  /** Removes a worker. */
  void remove(WorkerId worker) {
    histories.remove(worker);
  }

  /** Returns the relative speed of a worker; 1 if it is unknown. */
  double speed(WorkerId worker) {
    History history = histories.get(worker);
    return history == null ? 1 : Math.exp(history.logSpeed);
  }

  /** Returns whether the most recent runs on the worker failed. */
  boolean unreliable(WorkerId worker) {
    History history = histories.get(worker);
    return history != null && history.consecutiveFailures >= FAILURES_UNTIL_UNRELIABLE;
  }

  private History history(WorkerId worker) {
    return histories.computeIfAbsent(worker, key -> new History());
  }

  private static final class History {
    private double logSpeed;
    private int consecutiveFailures;
  }
}
