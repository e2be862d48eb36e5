package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Decides which share of a cold worker's capacity may be used now and how much slower its runs are
 * expected to be. Answers the load of failure domains whose workers all return at once: with their
 * full capacity, they would draw work that warm workers could finish earlier.
 */
final class ColdStart {

  /** Slowdown before any run was observed; the platform's setting {@code cold_overage}. */
  private static final double INITIAL_SLOWDOWN = 1.5;

  /** Bound of one observation, because callers' estimates are sometimes off by a factor of ten. */
  private static final double MAX_SLOWDOWN = 10;

  /** Weight of a new observation; the average of a service reflects about ten runs. */
  private static final double OBSERVATION_WEIGHT = 0.12;

  /**
   * Slowdown that is not yet treated as a stall, even if less is expected: the first runs of a cold
   * worker start before any was observed. The platform's setting {@code cold_tolerance}.
   */
  private static final double TOLERATED_SLOWDOWN = 5;

  private static final EventLog LOG = new EventLog(ColdStart.class);

  private final TimerService timer;
  private final Duration recheckPeriod;
  private final Map<WorkerId, ColdPeriod> periods = new HashMap<>();
  private final Map<String, Double> logSlowdowns = new HashMap<>();

  /** Workers whose warm state has not been logged yet. */
  private final Set<WorkerId> loggedCold = new HashSet<>();

  /**
   * Last known cold period of a worker process.
   *
   * @param coldRemaining value of the entry that the period was derived from
   */
  private record ColdPeriod(
      String service, long incarnation, Duration coldRemaining, long fromNanos, long untilNanos) {}

  /**
   * Creates an instance that knows no worker; all workers count as warm.
   *
   * @param recheckPeriod longest time until {@link #mayStart} is asked again for a waiting task
   */
  ColdStart(TimerService timer, Duration recheckPeriod) {
    this.timer = timer;
    this.recheckPeriod = recheckPeriod;
  }

  /**
   * Records a worker's entry. An entry of the same process with the same value says nothing new, so
   * the time that it was first measured from remains in effect.
   */
  void entryArrived(WorkerEntry entry) {
    ColdPeriod known = periods.get(entry.id());
    Duration remaining = entry.coldRemaining();
    if (known == null && remaining.isZero()) {
      return;
    }
    boolean sameProcess = known != null && known.incarnation() == entry.incarnation();
    if (sameProcess && known.coldRemaining().equals(remaining)) {
      return;
    }
    long now = timer.nanoTime();
    boolean wasCold = isCold(entry.id());
    long from = now;
    long until = now + remaining.toNanos();
    if (sameProcess && (wasCold || remaining.isZero())) {
      // Runs that were active in the cold period may still end.
      from = known.fromNanos();
      until = wasCold ? until : known.untilNanos();
    }
    periods.put(
        entry.id(), new ColdPeriod(entry.service(), entry.incarnation(), remaining, from, until));
    if (!remaining.isZero() && !(sameProcess && wasCold)) {
      loggedCold.add(entry.id());
      LOG.write(
          LogEvent.WORKER_COLD,
          "worker",
          entry.id(),
          "remaining",
          remaining,
          "slowdown",
          expectedSlowdown(entry.service()),
          "usableShare",
          usableShare(entry.id()));
    }
  }

  /** Removes a worker. */
  void remove(WorkerId worker) {
    periods.remove(worker);
    loggedCold.remove(worker);
  }

  /** Logs the workers that have become warm since the last call. */
  void logWarmWorkers() {
    loggedCold.removeIf(
        worker -> {
          boolean warm = !isCold(worker);
          if (warm) {
            LOG.write(
                LogEvent.WORKER_WARM,
                "worker",
                worker,
                "slowdown",
                expectedSlowdown(periods.get(worker).service()));
          }
          return warm;
        });
  }

  /** Returns whether a worker is cold now. */
  boolean isCold(WorkerId worker) {
    return remainingNanos(worker) > 0;
  }

  /**
   * Returns the share of a worker's capacity that counts now; 1 if it is warm. A fully used cold
   * worker achieves this share of the work that it achieves when it is warm.
   */
  double usableShare(WorkerId worker) {
    return isCold(worker) ? 1 / expectedSlowdown(periods.get(worker).service()) : 1;
  }

  /**
   * Returns by which factor work that starts now takes longer than on the warm worker; 1 if the
   * worker is warm.
   *
   * @param warmDuration expected duration on the warm worker
   */
  double slowdown(WorkerId worker, Duration warmDuration) {
    long remaining = remainingNanos(worker);
    if (remaining <= 0) {
      return 1;
    }
    double slowdown = expectedSlowdown(periods.get(worker).service());
    if (!warmDuration.isPositive()) {
      return slowdown;
    }
    // The part of the work that is left at the end of the cold time is done at the warm speed.
    double lostNanos = remaining * (1 - 1 / slowdown);
    return Math.min(slowdown, 1 + lostNanos / warmDuration.toNanos());
  }

  /**
   * Returns whether a task may start on a cold worker with enough free resources. Beyond its usable
   * share, the worker only takes a task whose job could no longer meet its objective there if it
   * waited any longer. One task may always start, because the share may be smaller than the task.
   *
   * @param free free resources of the worker
   * @param capacity total resources of the worker
   * @param warmDuration expected duration of the job on warm workers
   * @param timeLeft time until the job must have ended to meet its objective
   */
  boolean mayStart(
      WorkerId worker,
      Resources request,
      Resources free,
      Resources capacity,
      Duration warmDuration,
      Duration timeLeft) {
    long used = capacity.cpuMillicores() - free.cpuMillicores();
    if (used <= 0
        || used + request.cpuMillicores() <= usableShare(worker) * capacity.cpuMillicores()) {
      return true;
    }
    double coldNanos = warmDuration.toNanos() * slowdown(worker, warmDuration);
    return coldNanos + recheckPeriod.toNanos() > timeLeft.toNanos();
  }

  /** Returns whether a worker was cold at some time within a period that ends now. */
  boolean wasCold(WorkerId worker, Duration period) {
    return coldNanos(worker, period) > 0;
  }

  /**
   * Records the duration of a successful run that has just ended. A run that was cold for less than
   * half of its duration says little about the slowdown and is ignored.
   *
   * @param warmDuration expected duration on the warm worker
   */
  void succeeded(WorkerId worker, Duration warmDuration, Duration actual) {
    if (warmDuration.isPositive()
        && actual.isPositive()
        && coldNanos(worker, actual) >= actual.toNanos() / 2) {
      double observed = (double) actual.toNanos() / warmDuration.toNanos();
      double logObserved = Math.log(Math.clamp(observed, 1 / MAX_SLOWDOWN, MAX_SLOWDOWN));
      logSlowdowns.merge(
          periods.get(worker).service(),
          Math.log(INITIAL_SLOWDOWN)
              + OBSERVATION_WEIGHT * (logObserved - Math.log(INITIAL_SLOWDOWN)),
          (known, first) -> known + OBSERVATION_WEIGHT * (logObserved - known));
    }
  }

  /**
   * Returns the estimate that the stall detection uses for a run.
   *
   * @param estimate the caller's estimate of the task's duration
   * @param unchangedFor time for which the progress of the run has been the same
   */
  Duration toleratedDuration(WorkerId worker, Duration estimate, Duration unchangedFor) {
    if (!wasCold(worker, unchangedFor)) {
      return estimate;
    }
    double slowdown = Math.max(TOLERATED_SLOWDOWN, expectedSlowdown(periods.get(worker).service()));
    return Duration.ofNanos((long) (estimate.toNanos() * slowdown));
  }

  private double expectedSlowdown(String service) {
    Double logSlowdown = logSlowdowns.get(service);
    return logSlowdown == null ? INITIAL_SLOWDOWN : Math.max(1, Math.exp(logSlowdown));
  }

  private long remainingNanos(WorkerId worker) {
    ColdPeriod period = periods.get(worker);
    return period == null ? 0 : period.untilNanos() - timer.nanoTime();
  }

  /** Returns how long a worker was cold within a period that ends now. */
  private long coldNanos(WorkerId worker, Duration period) {
    ColdPeriod cold = periods.get(worker);
    if (cold == null) {
      return 0;
    }
    long now = timer.nanoTime();
    long from = Math.max(cold.fromNanos() - now, -period.toNanos());
    long until = Math.min(cold.untilNanos() - now, 0);
    return Math.max(0, until - from);
  }
}
