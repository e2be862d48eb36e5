package org.lovagerack.fleet.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.lovagerack.fleet.job.LostRun;

/** Runs of one task that ended because their worker stopped answering. */
final class TaskLosses {

  private List<LostRun> runs = List.of();
  private long lastNanos;

  /** Returns the lost runs, without those whose worker turned out to be running. */
  List<LostRun> runs() {
    return runs;
  }

  boolean isEmpty() {
    return runs.isEmpty();
  }

  /** Returns the monotonic time of the last loss that this owner knows of, in nanoseconds. */
  long lastNanos() {
    return lastNanos;
  }

  /** Returns the number of workers that crashed while they executed the task. */
  int crashes() {
    return (int) runs.stream().filter(run -> run.crashed() && run.confirmed()).count();
  }

  /** Returns the number of workers that crashed while they executed the task or received it. */
  int possibleCrashes() {
    return (int) runs.stream().filter(LostRun::crashed).count();
  }

  /** Returns whether a worker is known to have executed a lost run. */
  boolean anyConfirmed() {
    return runs.stream().anyMatch(LostRun::confirmed);
  }

  /** Returns whether it is not known of some worker whether it crashed. */
  boolean unexplained() {
    return !runs.stream().allMatch(LostRun::crashed);
  }

  void add(LostRun run, long nowNanos) {
    List<LostRun> added = new ArrayList<>(runs);
    added.add(run);
    runs = List.copyOf(added);
    lastNanos = nowNanos;
  }

  /** Replaces the lost runs by those that a former owner stored. */
  void restore(List<LostRun> stored, long nowNanos) {
    runs = List.copyOf(stored);
    lastNanos = nowNanos;
  }

  /**
   * Updates the runs whose worker may have crashed.
   *
   * @param fate returns what became of the worker of a lost run
   */
  void explain(Function<LostRun, WorkerFate> fate) {
    List<LostRun> remaining = new ArrayList<>();
    for (LostRun run : runs) {
      switch (run.crashed() ? WorkerFate.ENDED : fate.apply(run)) {
        case UNKNOWN -> remaining.add(run);
        case ENDED -> remaining.add(run.asCrash());
        case RUNNING -> {
          // The worker was cut off or paused.
        }
      }
    }
    runs = List.copyOf(remaining);
  }
}
