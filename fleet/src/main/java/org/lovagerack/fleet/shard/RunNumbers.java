package org.lovagerack.fleet.shard;

/**
 * Assigns ranges of run numbers to owners. Starts are not stored, so an owner cannot determine how
 * many runs a former owner has started. Each owner therefore uses its own range of numbers above
 * those of former owners.
 */
final class RunNumbers {

  /** Size of an owner's range for one job; a job has at most a few hundred runs. */
  private static final int RUNS_PER_OWNER = 10_000;

  private RunNumbers() {}

  /**
   * Returns the first number of an owner's range.
   *
   * @param acceptedByToken token of the owner that accepted the job
   * @param token token of the current owner
   */
  static int first(long acceptedByToken, long token) {
    return Math.toIntExact(
        Math.max(0, FencingTokens.epoch(token) - FencingTokens.epoch(acceptedByToken))
                * RUNS_PER_OWNER
            + 1);
  }
}
