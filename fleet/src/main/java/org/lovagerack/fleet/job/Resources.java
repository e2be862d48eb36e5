package org.lovagerack.fleet.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillicores processor time, thousandths of a core
 * @param memoryMegabytes memory, megabytes
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, long accelerators) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

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
