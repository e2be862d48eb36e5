package org.lovagerack.benchmarks;

import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** When arrivals come faster than usual, and how fast; the mean over the run is 1. */
final class BurstSchedule {

  private final TreeMap<Long, Long> endByStart = new TreeMap<>();
  private final double quietFactor;
  private final double burstFactor;

  /** Draws bursts of a fixed length at random times, on average one every {@code interval}. */
  BurstSchedule(long horizon, long interval, long length, double strength, RandomGenerator random) {
    long inBursts = 0;
    double time = 0;
    while (true) {
      time -= Math.log(1 - random.nextDouble()) * (interval - length);
      if (time + length > horizon) {
        break;
      }
      endByStart.put((long) time, (long) time + length);
      inBursts += length;
      time += length;
    }
    this.quietFactor = 1 / (1 + (strength - 1) * inBursts / horizon);
    this.burstFactor = quietFactor * strength;
  }

  double highestFactor() {
    return burstFactor;
  }

  double factorAt(long time) {
    var burst = endByStart.floorEntry(time);
    return burst != null && time < burst.getValue() ? burstFactor : quietFactor;
  }
}
