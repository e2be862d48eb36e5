package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.job.TaskRun;

/**
 * Result of a run, which the worker lists until it is acknowledged.
 *
 * @param number number of the result, counted from 1 in each incarnation of the worker
 * @param run the run
 * @param kind how it ended
 */
public record TaskRunResult(long number, TaskRun run, Kind kind) {

  /** How a run ended. */
  public enum Kind {
    /** The task succeeded. */
    DONE,
    /** The task failed. Only this kind counts as one of the allowed attempts of the task. */
    FAILED,
    /** The run was stopped by a request. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** The run ended in favour of another run, or in a way unknown to this version. */
    ABANDONED
  }
}
