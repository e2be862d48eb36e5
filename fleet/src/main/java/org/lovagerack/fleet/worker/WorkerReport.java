package org.lovagerack.fleet.worker;

import java.util.List;
import org.lovagerack.fleet.job.TaskRun;

/**
 * What a worker says about its runs.
 *
 * @param clockMillis worker's own clock, milliseconds
 * @param incarnation start time of the worker's process, Unix milliseconds; 0 if it does not say
 * @param running runs at work
 * @param ends ends that have not been acknowledged, in order of their numbers
 */
public record WorkerReport(
    long clockMillis, long incarnation, List<RunningTask> running, List<RunEnd> ends) {

  public WorkerReport {
    running = List.copyOf(running);
    ends = List.copyOf(ends);
  }

  /**
   * A run at work.
   *
   * @param run the run
   * @param percent progress, 0 to 100
   */
  public record RunningTask(TaskRun run, int percent) {}
}
