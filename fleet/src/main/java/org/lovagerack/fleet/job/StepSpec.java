package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.List;

/**
 * One step of a job: a number of tasks of the same shape.
 *
 * @param taskCount number of tasks, at least 1
 * @param request resources of each task
 * @param estimatedDuration caller's rough estimate of the duration of one task
 * @param after indexes of earlier steps whose tasks must all be done first
 * @param requiredLabel label that the worker must have; empty for any worker
 * @param dataRack rack that holds the tasks' data; empty if any rack serves as well
 * @param maxPerWorker largest number of tasks of the step on one worker; 0 for no limit
 */
public record StepSpec(
    int taskCount,
    Resources request,
    Duration estimatedDuration,
    List<Integer> after,
    String requiredLabel,
    String dataRack,
    int maxPerWorker) {

  /**
   * @throws IllegalArgumentException if the number of tasks is not positive
   */
  public StepSpec {
    if (taskCount < 1) {
      throw new IllegalArgumentException("a step with " + taskCount + " tasks");
    }
    after = List.copyOf(after);
  }
}
