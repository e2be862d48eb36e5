package org.lovagerack.benchmarks;

/** Hash function that turns consecutive seeds into uncorrelated random numbers. */
final class Hash {

  private Hash() {}

  /** Returns the SplitMix64 output for a state (Steele, Lea and Flood, 2014). */
  static long mix(long value) {
    long z = value + 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
