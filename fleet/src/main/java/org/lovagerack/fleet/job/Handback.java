package org.lovagerack.fleet.job;

/**
 * State of a transferred job that its host cannot run any further.
 *
 * @param progress what has ended so far
 * @param nextRun number greater than those of all runs so far
 */
public record Handback(JobProgress progress, int nextRun) {}
