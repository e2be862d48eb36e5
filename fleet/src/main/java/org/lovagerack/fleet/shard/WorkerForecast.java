package org.lovagerack.fleet.shard;

import java.util.List;
import java.util.function.Supplier;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.worker.WorkerId;

/** A worker that accepts tasks during one placement pass: what is free now and what will be. */
final class WorkerForecast {

  /**
   * Earliest start of a task on the worker.
   *
   * @param nanos monotonic time, nanoseconds
   * @param spare resources that remain free then beside those of the task
   */
  record Start(long nanos, Resources spare) {}

  private final WorkerId worker;
  private final double speed;
  private final Supplier<List<ExpectedEnds.End>> expectedEnds;
  private Resources free;
  private List<ExpectedEnds.End> ends;

  /**
   * Creates a forecast.
   *
   * @param free resources that are free now
   * @param speed speed relative to the callers' duration estimates
   * @param expectedEnds returns the expected ends of the present runs in order of time; called only
   *     if they are needed
   */
  WorkerForecast(
      WorkerId worker,
      Resources free,
      double speed,
      Supplier<List<ExpectedEnds.End>> expectedEnds) {
    this.worker = worker;
    this.free = free;
    this.speed = speed;
    this.expectedEnds = expectedEnds;
  }

  WorkerId worker() {
    return worker;
  }

  Resources free() {
    return free;
  }

  double speed() {
    return speed;
  }

  /** Records that a task was placed on the worker. */
  void take(Resources request) {
    free = free.minus(request);
    ends = null;
  }

  /** Returns the expected duration of work on this worker, nanoseconds. */
  double durationNanos(long estimatedNanos) {
    return estimatedNanos / speed;
  }

  /** Returns the earliest start of a task; null if the worker is not expected to take it. */
  Start earliestStart(Resources request, long nowNanos) {
    if (request.fitsIn(free)) {
      return new Start(nowNanos, free.minus(request));
    }
    if (ends == null) {
      ends = expectedEnds.get();
    }
    Resources available = free;
    for (ExpectedEnds.End end : ends) {
      available = available.plus(end.freed());
      if (request.fitsIn(available)) {
        return new Start(Math.max(nowNanos, end.nanos()), available.minus(request));
      }
    }
    return null;
  }
}
