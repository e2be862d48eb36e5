package org.lovagerack.fleet.shard;

import java.util.List;
import org.lovagerack.fleet.job.StepSpec;

/**
 * Chooses the worker for a task. Typical tasks take 40 % of a worker, and worker speeds differ by
 * almost a factor of three. The slowest task determines when a job ends, so the fastest worker with
 * enough free resources is chosen, and a cold one only if no warm one has room. Among workers of
 * equal speed, the tightest fit is chosen.
 */
final class Placement {

  /** Index returned when no worker is suitable. */
  static final int NONE = -1;

  /** Speed difference below which workers count as equal, given the accuracy of the estimates. */
  private static final double SPEED_TOLERANCE = 0.1;

  private Placement() {}

  /**
   * Returns the index of the best candidate, or {@link #NONE} if none is suitable.
   *
   * @param alone whether the task should share its worker with as few tasks as possible
   */
  static int choose(StepSpec step, boolean alone, List<Candidate> candidates) {
    int best = NONE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      if (isSuitable(step, candidate)
          && (best == NONE || isBetter(step, alone, candidate, candidates.get(best)))) {
        best = index;
      }
    }
    return best;
  }

  private static boolean isSuitable(StepSpec step, Candidate candidate) {
    return step.request().fitsIn(candidate.freeResources())
        && step.acceptsLabels(candidate.labels())
        && (step.maxPerWorker() == 0 || candidate.tasksOfStep() < step.maxPerWorker());
  }

  private static boolean isBetter(
      StepSpec step, boolean alone, Candidate candidate, Candidate best) {
    if (candidate.failedThisTask() != best.failedThisTask()) {
      return best.failedThisTask();
    }
    if (alone && candidate.occupied() != best.occupied()) {
      return best.occupied();
    }
    if (candidate.unreliable() != best.unreliable()) {
      return best.unreliable();
    }
    // Before locality: a run on a cold worker is slow as a whole, not only while it reads its data.
    if (candidate.cold() != best.cold()) {
      return best.cold();
    }
    boolean local = isLocal(step, candidate);
    if (local != isLocal(step, best)) {
      return local;
    }
    if (Math.abs(candidate.speed() - best.speed()) > SPEED_TOLERANCE) {
      return candidate.speed() > best.speed();
    }
    return candidate.freeResources().cpuMillicores() < best.freeResources().cpuMillicores();
  }

  private static boolean isLocal(StepSpec step, Candidate candidate) {
    return step.dataRack().isEmpty() || candidate.labels().contains(step.dataRack());
  }
}
