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
 */
public record WorkerReport(
    long clockMillis,
    long incarnation,
    List<RunningTask> running,
    List<TaskRunResult> results,
    List<Long> unreadableResults) {

  public WorkerReport {
    running = List.copyOf(running);
    results = List.copyOf(results);
    unreadableResults = List.copyOf(unreadableResults);
  }

  /**
   * A run in progress.
   *
   * @param run the run
   * @param percent progress, 0 to 100
   */
  public record RunningTask(TaskRun run, int percent) {}
}
