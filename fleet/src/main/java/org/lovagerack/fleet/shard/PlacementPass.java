package org.lovagerack.fleet.shard;

import java.util.ArrayList;
import java.util.List;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.StepSpec;

/**
 * One pass over the queue, which remembers the requests that no worker could take. Free resources
 * only shrink during a pass, so an equal or larger request need not be compared with all workers
 * again. A long queue then costs one comparison with the workers for each size of task.
 */
final class PlacementPass {

  private record Rejected(String service, String requiredLabel, Resources request) {}

  private final List<Rejected> rejected = new ArrayList<>();

  /** Returns whether some worker of the service may still take a task of the step. */
  boolean mayFit(String service, StepSpec step) {
    for (Rejected earlier : rejected) {
      if (earlier.request().fitsIn(step.request())
          && earlier.service().equals(service)
          && (earlier.requiredLabel().isEmpty()
              || earlier.requiredLabel().equals(step.requiredLabel()))) {
        return false;
      }
    }
    return true;
  }

  /** Records that no worker of the service could take a task of the step. */
  void reject(String service, StepSpec step) {
    // With a limit per worker, a rejection depends on the other tasks of the job.
    if (step.maxPerWorker() == 0) {
      rejected.add(new Rejected(service, step.requiredLabel(), step.request()));
    }
  }
}
