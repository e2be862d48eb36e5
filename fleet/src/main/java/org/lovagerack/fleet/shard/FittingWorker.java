package org.lovagerack.fleet.shard;

import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Chooses the worker for a task of a load of mixed sizes. The tightest fit among the workers that
 * are fast enough leaves fast workers and large gaps to the tasks that need them. A task that would
 * miss its objective on the workers that are free waits while a faster one could still meet it.
 */
final class FittingWorker {

  /**
   * Share of the workers that must be fast enough for a task to wait for one. When only an eighth
   * was, tasks waited in vain while slow workers stayed idle.
   */
  private static final double MIN_FAST_SHARE = 0.25;

  private FittingWorker() {}

  /**
   * Returns the index of the worker to use, or {@link Placement#NONE} if the task should wait.
   *
   * @param candidates workers with enough free resources
   * @param usual index of the worker that {@link Placement} chooses
   * @param speeds returns the speeds of the workers that could run the task now or later
   */
  static int choose(
      Task task, List<Candidate> candidates, int usual, Supplier<double[]> speeds, long nowNanos) {
    int best = Placement.NONE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      if (!candidate.unreliable()
          && !candidate.cold()
          && ObjectiveMargin.safelyMeets(task, candidate.speed(), nowNanos)
          && (best == Placement.NONE
              || candidate.freeResources().cpuMillicores()
                  < candidates.get(best).freeResources().cpuMillicores())) {
        best = index;
      }
    }
    if (best != Placement.NONE) {
      return best;
    }
    return ObjectiveMargin.meets(task, candidates.get(usual).speed(), nowNanos)
            || !enoughAreFast(task, speeds.get(), nowNanos)
        ? usual
        : Placement.NONE;
  }

  private static boolean enoughAreFast(Task task, double[] speeds, long nowNanos) {
    long fast =
        Arrays.stream(speeds).filter(speed -> ObjectiveMargin.meets(task, speed, nowNanos)).count();
    return fast > 0 && fast >= MIN_FAST_SHARE * speeds.length;
  }
}
