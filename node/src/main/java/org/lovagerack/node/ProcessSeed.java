package org.lovagerack.node;

/**
 * The seed of a process's random numbers, among them the number that names its incarnation. They
 * must differ between processes but need not be secret; a secure generator would cost a start 25 ms
 * of processor.
 */
final class ProcessSeed {

  /** Odd constant of the golden ratio, which spreads neighbouring values over all bits. */
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private ProcessSeed() {}

  /**
   * Returns the seed.
   *
   * @param name name of the VM, which no other VM has
   * @param wallMillis time of day, milliseconds
   * @param monotonicNanos monotonic time, nanoseconds, which differs between two processes of a VM
   *     even if the time of day was set back
   */
  static long of(String name, long wallMillis, long monotonicNanos) {
    long seed = 0;
    for (int index = 0; index < name.length(); index++) {
      seed = mix(seed + name.charAt(index));
    }
    return mix(mix(seed + wallMillis) + monotonicNanos);
  }

  private static long mix(long value) {
    long spread = (value + SPREAD) * SPREAD;
    return spread ^ (spread >>> 32);
  }
}
