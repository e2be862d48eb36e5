package org.lovagerack.fleet.shard;

import java.util.List;
import org.lovagerack.fleet.job.StepSpec;

/**
 * Chooses the worker for a task. Answers the users' load of tasks that take 40 % of a worker and of
 * workers whose speeds differ almost threefold: the slowest task decides when a job ends, so the
 * fastest worker with room is taken, and among equals the one that keeps the least room unused.
 */
final class Placement {

  /** Index that stands for no worker. */
  static final int NONE = -1;

  /** Speeds closer than this do not decide; the estimate is no better. */
  private static final double SAME_SPEED = 0.1;

  private Placement() {}

  /** Returns the index of the best candidate, or {@link #NONE} if none has room. */
  static int choose(StepSpec step, List<Candidate> candidates) {
    int best = NONE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      if (possible(step, candidate)
          && (best == NONE || better(step, candidate, candidates.get(best)))) {
        best = index;
      }
    }
    return best;
  }

  private static boolean possible(StepSpec step, Candidate candidate) {
    return step.request().fitsIn(candidate.room())
        && (step.requiredLabel().isEmpty() || candidate.labels().contains(step.requiredLabel()))
        && (step.maxPerWorker() == 0 || candidate.tasksOfStep() < step.maxPerWorker());
  }

  private static boolean better(StepSpec step, Candidate candidate, Candidate best) {
    if (candidate.failedThisTask() != best.failedThisTask()) {
      return best.failedThisTask();
    }
    if (candidate.distrusted() != best.distrusted()) {
      return best.distrusted();
    }
    boolean local = local(step, candidate);
    if (local != local(step, best)) {
      return local;
    }
    if (Math.abs(candidate.speed() - best.speed()) > SAME_SPEED) {
      return candidate.speed() > best.speed();
    }
    return candidate.room().cpuMillicores() < best.room().cpuMillicores();
  }

  private static boolean local(StepSpec step, Candidate candidate) {
    return step.dataRack().isEmpty() || candidate.labels().contains(step.dataRack());
  }
}
