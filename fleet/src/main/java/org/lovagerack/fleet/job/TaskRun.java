package org.lovagerack.fleet.job;

/**
 * One start of a task.
 *
 * @param task the task
 * @param run number of the run, which increases with every start of the task
 */
public record TaskRun(TaskId task, int run) {}
