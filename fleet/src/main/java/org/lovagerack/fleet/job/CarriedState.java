package org.lovagerack.fleet.job;

/**
 * What a job that changes its shard takes along.
 *
 * @param progress what has ended so far
 * @param nextRun number greater than those of all runs so far
 */
public record CarriedState(JobProgress progress, int nextRun) {

  /** Number of the first run of a job. */
  private static final int FIRST_RUN = 1;

  /** Returns whether a run may have started in one of the job's shards. */
  public boolean mayHaveRun() {
    return nextRun > FIRST_RUN;
  }
}
