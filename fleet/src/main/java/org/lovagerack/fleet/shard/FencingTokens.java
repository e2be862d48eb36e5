package org.lovagerack.fleet.shard;

/**
 * Fencing tokens. The store grants every tenure, and every renewal that must fence others, a token
 * of its own; the numbers between two of them are left to islands, which act without the store.
 */
public final class FencingTokens {

  /** Largest number of VMs that may act between two tokens that the store grants. */
  private static final long STEP = 1000;

  private FencingTokens() {}

  /** Returns the token that the store grants after {@code token}. */
  static long next(long token) {
    return (epoch(token) + 1) * STEP;
  }

  /** Returns the number of tokens that the store had granted up to {@code token}. */
  static long epoch(long token) {
    return token / STEP;
  }

  /**
   * Returns the token of an island.
   *
   * @param token last known token that the store granted
   * @param rank rank of the VM among those of the failure domain
   */
  public static long island(long token, int rank) {
    return epoch(token) * STEP + 1 + rank % (STEP - 1);
  }
}
