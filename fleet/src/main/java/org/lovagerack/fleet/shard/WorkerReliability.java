package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Tracks the workers that fail many of their runs. Answers the load of workers that report good
 * health but fail a part or all of their runs: a run that fails soon frees its worker soon, so such
 * a worker would draw more tasks than the others. A worker that fails often is the last choice; one
 * that fails nearly always gets no task during a pause, which doubles with each failure after it.
 */
final class WorkerReliability {

  /** Weight of a run in the share of failed runs; the share reflects the last few runs. */
  private static final double RUN_WEIGHT = 0.3;

  /** Share of failed runs from which a worker is unreliable; two failures in a row exceed it. */
  private static final double UNRELIABLE_SHARE = 0.4;

  /** Share below which it is reliable again; three successes in a row suffice. */
  private static final double RELIABLE_SHARE = 0.2;

  /** Share from which a worker is paused; four failures in a row exceed it. */
  private static final double PAUSED_SHARE = 0.75;

  private static final Duration INITIAL_PAUSE = Duration.ofMillis(500);
  private static final int MAX_DOUBLINGS = 3;

  private static final EventLog LOG = new EventLog(WorkerReliability.class);

  private final TimerService timer;
  private final Map<WorkerId, History> histories = new HashMap<>();

  WorkerReliability(TimerService timer) {
    this.timer = timer;
  }

  /** Records a successful run. */
  void succeeded(WorkerId worker) {
    History history = histories.get(worker);
    if (history != null) {
      history.failedShare -= RUN_WEIGHT * history.failedShare;
      update(worker, history);
    }
  }

  /**
   * Records a failed run.
   *
   * @param failedElsewhere other workers on which the same task has failed; if there are any, the
   *     task is the likely cause, and its failures do not count against the workers
   */
  void failed(WorkerId worker, Collection<WorkerId> failedElsewhere) {
    if (failedElsewhere.isEmpty()) {
      History history = histories.computeIfAbsent(worker, key -> new History());
      history.failedShare += RUN_WEIGHT * (1 - history.failedShare);
      update(worker, history);
      if (history.failedShare >= PAUSED_SHARE) {
        pause(worker, history);
      }
      return;
    }
    for (WorkerId earlier : failedElsewhere) {
      History history = histories.get(earlier);
      if (history != null) {
        history.failedShare = Math.max(0, (history.failedShare - RUN_WEIGHT) / (1 - RUN_WEIGHT));
        update(earlier, history);
      }
    }
  }

  private void pause(WorkerId worker, History history) {
    Duration pause = INITIAL_PAUSE.multipliedBy(1L << Math.min(history.pauses, MAX_DOUBLINGS));
    history.pausedUntilNanos = timer.nanoTime() + pause.toNanos();
    history.pauses++;
    LOG.write(
        LogEvent.WORKER_PAUSED,
        "worker",
        worker,
        "failedShare",
        history.failedShare,
        "pause",
        pause);
  }

  private static void update(WorkerId worker, History history) {
    if (!history.unreliable && history.failedShare >= UNRELIABLE_SHARE) {
      history.unreliable = true;
      LOG.write(LogEvent.WORKER_UNRELIABLE, "worker", worker, "failedShare", history.failedShare);
    } else if (history.unreliable && history.failedShare < RELIABLE_SHARE) {
      history.unreliable = false;
      history.pauses = 0;
      LOG.write(LogEvent.WORKER_RELIABLE, "worker", worker, "failedShare", history.failedShare);
    }
  }

  /** Removes a worker. */
  void remove(WorkerId worker) {
    histories.remove(worker);
  }

  /** Returns whether many of the last runs on the worker failed. */
  boolean unreliable(WorkerId worker) {
    History history = histories.get(worker);
    return history != null && history.unreliable;
  }

  /** Returns whether the worker should get no task now. */
  boolean paused(WorkerId worker) {
    History history = histories.get(worker);
    return history != null
        && history.unreliable
        && history.pauses > 0
        && timer.nanoTime() - history.pausedUntilNanos < 0;
  }

  private static final class History {
    private double failedShare;
    private boolean unreliable;
    private int pauses;
    private long pausedUntilNanos;
  }
}
