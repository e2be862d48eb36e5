package org.lovagerack.fleet.job;

/**
 * What is kept of a job after its end.
 *
 * @param state final state
 * @param endedAtMillis time of the end, Unix milliseconds
 */
public record EndedJob(JobState state, long endedAtMillis) {}
