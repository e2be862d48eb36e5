package org.lovagerack.benchmarks;

import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Factors on the arrival rate during and between bursts; their mean over the run is 1. */
final class BurstSchedule {

  private final TreeMap<Long, Long> burstEndByStart = new TreeMap<>();
  private final double baseFactor;
  private final double burstFactor;

  /** Samples bursts of a fixed length at random times, one per interval on average. */
  BurstSchedule(
      long horizonNanos,
      long intervalNanos,
      long lengthNanos,
      double strength,
      RandomGenerator random) {
    long totalBurstNanos = 0;
    double time = 0;
    while (true) {
      time -= Math.log(1 - random.nextDouble()) * (intervalNanos - lengthNanos);
      if (time + lengthNanos > horizonNanos) {
        break;
      }
      burstEndByStart.put((long) time, (long) time + lengthNanos);
      totalBurstNanos += lengthNanos;
      time += lengthNanos;
    }
    this.baseFactor = 1 / (1 + (strength - 1) * totalBurstNanos / horizonNanos);
    this.burstFactor = baseFactor * strength;
  }

  double maxFactor() {
    return burstFactor;
  }

  double factorAt(long time) {
    var burst = burstEndByStart.floorEntry(time);
    return burst != null && time < burst.getValue() ? burstFactor : baseFactor;
  }
}
