package org.lovagerack.fleet.shard;

/**
 * Numbers of runs. Starts are not stored, so an owner does not know how many runs an earlier owner
 * has started; each owner therefore counts within a range of its own, above those of earlier ones.
 */
final class RunNumbers {

  /** Runs that one owner can start of the tasks of one job; a job has a few hundred at most. */
  private static final int RUNS_PER_OWNER = 10_000;

  private RunNumbers() {}

  /**
   * Returns the first number of an owner's range.
   *
   * @param acceptedByToken token of the owner that accepted the job
   * @param token token of the present owner
   */
  static int first(long acceptedByToken, long token) {
    return Math.toIntExact(
        Math.max(0, FencingTokens.epoch(token) - FencingTokens.epoch(acceptedByToken))
                * RUNS_PER_OWNER
            + 1);
  }
}
