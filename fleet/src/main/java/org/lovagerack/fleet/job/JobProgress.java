package org.lovagerack.fleet.job;

import java.util.List;
import java.util.Map;

/**
 * Stored progress of a job. Tasks are numbered across all steps.
 *
 * @param doneTasks tasks that succeeded
 * @param failedRuns numbers of the failed runs of each task, keyed by task number
 * @param lostRuns runs of each task that ended with their worker, keyed by task number
 * @param started whether a run of the job is known to have started
 * @param storedAtMillis time of the record, Unix milliseconds; 0 if it is not known
 */
public record JobProgress(
    List<Integer> doneTasks,
    Map<Integer, List<Integer>> failedRuns,
    Map<Integer, List<LostRun>> lostRuns,
    boolean started,
    long storedAtMillis) {

  public JobProgress {
    doneTasks = List.copyOf(doneTasks);
    failedRuns = Map.copyOf(failedRuns);
    lostRuns = Map.copyOf(lostRuns);
  }
}
