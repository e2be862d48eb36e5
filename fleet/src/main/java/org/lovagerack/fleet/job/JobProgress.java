package org.lovagerack.fleet.job;

import java.util.List;
import java.util.Map;

/**
 * Stored progress of a job that has not ended.
 *
 * @param doneTasks tasks that succeeded, numbered across all steps
 * @param failedRuns numbers of the failed runs of each task, keyed by task number
 */
public record JobProgress(List<Integer> doneTasks, Map<Integer, List<Integer>> failedRuns) {

  /** Progress of a job without ended runs. */
  public static final JobProgress NONE = new JobProgress(List.of(), Map.of());

  public JobProgress {
    doneTasks = List.copyOf(doneTasks);
    failedRuns = Map.copyOf(failedRuns);
  }
}
