package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.List;

/**
 * One step of a job: a number of tasks with equal requirements.
 *
 * @param taskCount number of tasks, at least 1
 * @param request resources of each task
 * @param estimatedDuration caller's rough estimate of the duration of one task
 * @param after indexes of the preceding steps that must complete first
 * @param requiredLabel label that the worker must have; empty for any worker
 * @param dataRack rack where the tasks' data is stored; empty if the rack does not matter
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
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
