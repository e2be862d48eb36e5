package org.lovagerack.fleet.job;

import java.util.List;

/**
 * Work that a caller submits as one job.
 *
 * @param specification opaque text that every task of the job receives
 * @param steps steps, at least one
 * @param bestEffort whether the job is not stored and is answered only when it has ended
 */
public record JobSpec(String specification, List<StepSpec> steps, boolean bestEffort) {

  /** Maximum number of tasks of a job, which all are in memory. */
  private static final int MAX_TASKS = 10_000;

  /**
   * @throws IllegalArgumentException if there is no step, a step depends on itself or on a later
   *     step, or there are too many tasks
   */
  public JobSpec {
    steps = List.copyOf(steps);
    if (steps.isEmpty()) {
      throw new IllegalArgumentException("a job without steps");
    }
    long tasks = steps.stream().mapToLong(StepSpec::taskCount).sum();
    if (tasks > MAX_TASKS) {
      throw new IllegalArgumentException("a job with " + tasks + " tasks");
    }
    for (int step = 0; step < steps.size(); step++) {
      for (int earlier : steps.get(step).after()) {
        if (earlier < 0 || earlier >= step) {
          throw new IllegalArgumentException("step " + step + " waits for step " + earlier);
        }
      }
    }
  }

  /** Returns the number of tasks of all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::taskCount).sum();
  }
}
