package org.lovagerack.fleet.shard;

/**
 * Computes fencing tokens. The store grants a new token for every term and for every renewal that
 * must fence other VMs. Islands operate without the store and use the numbers between two granted
 * tokens.
 */
public final class FencingTokens {

  /** Distance between two granted tokens; limits the number of VMs in an island. */
  private static final long GRANT_INTERVAL = 1000;

  private FencingTokens() {}

  /** Returns the token that the store grants after {@code token}. */
  static long next(long token) {
    return (epoch(token) + 1) * GRANT_INTERVAL;
  }

  /** Returns the number of tokens granted up to {@code token}. */
  static long epoch(long token) {
    return token / GRANT_INTERVAL;
  }

  /**
   * Returns the token of an island.
   *
   * @param token last known granted token
   * @param rank rank of the VM among those of the failure domain
   */
  public static long island(long token, int rank) {
    return epoch(token) * GRANT_INTERVAL + 1 + rank % (GRANT_INTERVAL - 1);
  }
}
