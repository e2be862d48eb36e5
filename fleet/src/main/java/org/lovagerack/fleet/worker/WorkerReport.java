package org.lovagerack.fleet.worker;

import java.util.List;
import org.lovagerack.fleet.job.TaskRun;

/**
 * Report of a worker about its runs.
 *
 * @param clockMillis time on the worker's clock, milliseconds
 * @param incarnation start time of the worker's process, Unix milliseconds; 0 if the report does
 *     not contain it
 * @param running runs in progress
 * @param results results that have not been acknowledged, ordered by number
 * @param unreadableResults numbers of results that name no task, in ascending order
 * @param listedResults number of results that the worker listed, readable or not; at {@link
 *     #MAX_RESULTS} it may hold more, which it lists when these have been acknowledged
 */
public record WorkerReport(
    long clockMillis,
    long incarnation,
    List<RunningTask> running,
    List<TaskRunResult> results,
    List<Long> unreadableResults,
    int listedResults) {

  /** Maximum number of results that a worker lists at a time. */
  public static final int MAX_RESULTS = 500;

  public WorkerReport {
    running = List.copyOf(running);
    results = List.copyOf(results);
    unreadableResults = List.copyOf(unreadableResults);
  }

  /** Returns whether the worker holds no results beside those of this report. */
  public boolean listsAllResults() {
    return listedResults < MAX_RESULTS;
  }

  /**
   * A run in progress.
   *
   * @param run the run
   * @param percent progress, 0 to 100
   */
  public record RunningTask(TaskRun run, int percent) {}
}
