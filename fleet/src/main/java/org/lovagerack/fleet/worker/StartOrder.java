package org.lovagerack.fleet.worker;

import org.lovagerack.fleet.job.TaskRun;

/**
 * Order to start a task.
 *
 * @param run the run
 * @param specification the job's text
 * @param deadlineMillis time on the worker's clock until which it holds its lease; a later arrival
 *     is rejected
 * @param fencingToken token of the owner
 */
public record StartOrder(
    TaskRun run, String specification, long deadlineMillis, long fencingToken) {}
