package org.lovagerack.fleet.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillicores processor time, thousandths of a core
 * @param memoryMegabytes memory, megabytes
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, long accelerators) {

  /** Limit of what one worker can have and one task can request; sums stay far below a long. */
  private static final long MAX_AMOUNT = 1_000_000_000_000L;

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Returns an amount that another process has sent.
   *
   * @throws IllegalArgumentException if a component is negative or too large
   */
  public static Resources received(long cpuMillicores, long memoryMegabytes, long accelerators) {
    for (long amount : new long[] {cpuMillicores, memoryMegabytes, accelerators}) {
      if (amount < 0 || amount > MAX_AMOUNT) {
        throw new IllegalArgumentException("an amount of " + amount);
      }
    }
    return new Resources(cpuMillicores, memoryMegabytes, accelerators);
  }

  /** Returns the sum of this amount and another. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillicores + other.cpuMillicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns this amount minus another; components may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns whether this amount exceeds {@code limit} in no component. */
  public boolean fitsIn(Resources limit) {
    return cpuMillicores <= limit.cpuMillicores
        && memoryMegabytes <= limit.memoryMegabytes
        && accelerators <= limit.accelerators;
  }
}
