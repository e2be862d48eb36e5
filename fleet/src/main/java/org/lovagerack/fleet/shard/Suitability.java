package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.fleet.worker.WorkerEntry;

/**
 * Decides whether a worker gets new tasks, and whether it can run the tasks of a step at all,
 * however busy it is.
 */
final class Suitability {

  private final Evacuations evacuations;

  /** Creates an instance that excludes the workers of evacuated failure domains. */
  Suitability(Evacuations evacuations) {
    this.evacuations = evacuations;
  }

  /** Returns whether new tasks may be assigned to a worker. */
  boolean acceptsTasks(WorkerEntry worker) {
    return !worker.draining() && !evacuations.contains(worker.failureDomain());
  }

  /** Returns whether the worker's service, label and capacity are what the step asks for. */
  boolean canRun(String service, StepSpec step, WorkerEntry worker) {
    return worker.service().equals(service)
        && acceptsTasks(worker)
        && step.request().fitsIn(worker.capacity())
        && step.acceptsLabels(worker.labels());
  }
}
