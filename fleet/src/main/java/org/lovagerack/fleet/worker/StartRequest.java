package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.job.TaskRun;

/**
 * Request to start a task.
 *
 * @param run the run
 * @param specification opaque text of the job that the task receives
 * @param deadlineMillis end of the lease on the worker's clock, milliseconds; the worker rejects a
 *     request that arrives later
 * @param fencingToken token of the owner
 */
public record StartRequest(
    TaskRun run, String specification, long deadlineMillis, long fencingToken) {}
