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
   * Memory of a step, as parsed and as part of a job. With a quarter of it, jobs of many short
   * steps exhausted a heap of 48 MB.
   */
  private static final int STEP_BYTES = 1600;

  /** Memory of a task with its identifier, counters and entries in the tables of the owner. */
  private static final int TASK_BYTES = 900;

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

  /** Returns an estimate of the memory that a job in progress occupies, in bytes. */
  public long retainedBytes() {
    return (long) steps.size() * STEP_BYTES
        + (long) taskCount() * TASK_BYTES
        + (long) specification.length() * Character.BYTES;
  }

  /** Returns the number of tasks of all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::taskCount).sum();
  }
}
