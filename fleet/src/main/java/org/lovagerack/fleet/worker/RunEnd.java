package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.job.TaskRun;

/**
 * The end of a run as the worker lists it.
 *
 * @param number position in the worker's list of ends, from 1 in each incarnation
 * @param run the run
 * @param kind how it ended
 */
public record RunEnd(long number, TaskRun run, Kind kind) {

  /** How a run ended. */
  public enum Kind {
    /** The task did its work. */
    DONE,
    /** The task failed; the only kind that counts against the attempts of the task. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** Ended for the sake of another run, or in a way that this version does not know. */
    ABANDONED
  }
}
