package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.worker.WorkerEntry;

/** Decides whether a worker can run the tasks of a step at all, however busy it is. */
final class Suitability {

  private Suitability() {}

  /** Returns whether the worker's service, label and capacity are what the step asks for. */
  static boolean canRun(String service, StepSpec step, WorkerEntry worker) {
    return worker.service().equals(service)
        && !worker.draining()
        && step.request().fitsIn(worker.capacity())
        && step.acceptsLabels(worker.labels());
  }
}
