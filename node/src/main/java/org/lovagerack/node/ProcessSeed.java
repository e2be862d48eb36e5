package org.lovagerack.node;

/**
 * Seed of a process's random numbers, which include its incarnation number. Seeds must differ
 * between processes but need not be secret; a secure generator would add 25 ms of processor time to
 * each start.
 */
final class ProcessSeed {

  /** 2^64 divided by the golden ratio; as a multiplier, spreads close values over all bits. */
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private ProcessSeed() {}

  /**
   * Returns the seed.
   *
   * @param name unique name of the VM
   * @param wallMillis wall-clock time, in milliseconds
   * @param monotonicNanos monotonic time, in nanoseconds; differs between two processes of a VM
   *     even if the wall clock was set back
   */
  static long of(String name, long wallMillis, long monotonicNanos) {
    long seed = 0;
    for (int index = 0; index < name.length(); index++) {
      seed = mix(seed + name.charAt(index));
    }
    return mix(mix(seed + wallMillis) + monotonicNanos);
  }

  private static long mix(long value) {
    long product = (value + GOLDEN_RATIO) * GOLDEN_RATIO;
    return product ^ (product >>> 32);
  }
}
