package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.List;
import java.util.Set;

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

  /** Longest estimate of a task; a longer one has no effect on any decision. */
  private static final Duration MAX_DURATION = Duration.ofDays(1);

  /**
   * @throws IllegalArgumentException if the number of tasks is not positive, or a duration or limit
   *     is out of range
   */
  public StepSpec {
    if (taskCount < 1) {
      throw new IllegalArgumentException("a step with " + taskCount + " tasks");
    }
    if (estimatedDuration.isNegative() || estimatedDuration.compareTo(MAX_DURATION) > 0) {
      throw new IllegalArgumentException("a task of " + estimatedDuration);
    }
    if (maxPerWorker < 0) {
      throw new IllegalArgumentException("a limit of " + maxPerWorker + " tasks on a worker");
    }
    after = List.copyOf(after);
  }

  /** Returns whether a worker with these labels has the one that the step requires, if any. */
  public boolean acceptsLabels(Set<String> labels) {
    return requiredLabel.isEmpty() || labels.contains(requiredLabel);
  }
}
