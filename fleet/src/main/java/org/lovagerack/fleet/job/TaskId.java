package org.lovagerack.fleet.job;

/**
 * Identity of a task of a job.
 *
 * @param jobId job
 * @param step index of the step
 * @param index index of the task in its step
 */
public record TaskId(String jobId, int step, int index) {}
