package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.worker.WorkerId;

/**
 * Learns how fast each worker is from the durations of its runs, relative to the callers'
 * estimates, and which workers fail what they start. Estimates are off by 40 % and sometimes
 * tenfold, so each observation is cut off and moves the average only a little.
 */
final class WorkerSpeeds {

  /** Weight of a new observation; about ten runs decide. */
  private static final double WEIGHT = 0.12;

  private static final double SLOWEST = 0.1;
  private static final double FASTEST = 4;

  /** Consecutive failures after which a worker is tried only when nothing else is free. */
  private static final int FAILURES_BEFORE_DISTRUST = 2;

  private final Map<WorkerId, History> histories = new HashMap<>();

  /** Takes the duration of a run that did its work. */
  void succeeded(WorkerId worker, Duration estimated, Duration took) {
    History history = history(worker);
    history.consecutiveFailures = 0;
    if (estimated.isPositive() && took.isPositive()) {
      double observed = (double) estimated.toNanos() / took.toNanos();
      double bounded = Math.min(FASTEST, Math.max(SLOWEST, observed));
      history.logSpeed += WEIGHT * (Math.log(bounded) - history.logSpeed);
    }
  }

  /** Takes the failure of a run. */
  void failed(WorkerId worker) {
    history(worker).consecutiveFailures++;
  }

  /** Forgets a worker. */
  void forget(WorkerId worker) {
    histories.remove(worker);
  }

  /** Returns the speed of a worker; 1 if nothing is known. */
  double speed(WorkerId worker) {
    History history = histories.get(worker);
    return history == null ? 1 : Math.exp(history.logSpeed);
  }

  /** Returns whether the worker has failed its last runs. */
  boolean distrusted(WorkerId worker) {
    History history = histories.get(worker);
    return history != null && history.consecutiveFailures >= FAILURES_BEFORE_DISTRUST;
  }

  private History history(WorkerId worker) {
    return histories.computeIfAbsent(worker, key -> new History());
  }

  private static final class History {
    private double logSpeed;
    private int consecutiveFailures;
  }
}
