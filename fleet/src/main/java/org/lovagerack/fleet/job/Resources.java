package org.lovagerack.fleet.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillicores processor, thousandths of a core
 * @param memoryMegabytes memory, megabytes
 * @param accelerators whole accelerators
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

  /** Returns this amount less another; parts may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns whether this amount is at most {@code room} in every part. */
  public boolean fitsIn(Resources room) {
    return cpuMillicores <= room.cpuMillicores
        && memoryMegabytes <= room.memoryMegabytes
        && accelerators <= room.accelerators;
  }
}
