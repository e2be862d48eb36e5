package org.lovagerack.fleet.job;

import java.util.List;
import java.util.Map;

/**
 * What is durable about the tasks of a job that has not ended.
 *
 * @param doneTasks tasks that have ended successfully, numbered through all steps
 * @param failedRuns numbers of the failed runs of each task that failed, by the same number
 */
public record JobProgress(List<Integer> doneTasks, Map<Integer, List<Integer>> failedRuns) {

  /** Nothing has ended yet. */
  public static final JobProgress NONE = new JobProgress(List.of(), Map.of());

  public JobProgress {
    doneTasks = List.copyOf(doneTasks);
    failedRuns = Map.copyOf(failedRuns);
  }
}
