package org.lovagerack.fleet.job;

/**
 * Stored record of a job that has ended.
 *
 * @param state final state
 * @param endedAtMillis time of the end, Unix milliseconds
 */
public record EndedJob(JobState state, long endedAtMillis) {}
