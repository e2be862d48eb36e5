package org.lovagerack.benchmarks.capacity;

import java.util.List;

/**
 * Sizes at which the slopes are measured.
 *
 * @param jobSizes tasks per job
 * @param upstreamsOfDomain upstreams of one failure domain
 * @param starts starts per measured value
 * @param startsPerSecond rate of the starts in driven time
 * @param repetitions repetitions of short actions
 * @param heldItems counts of items that are held in memory
 * @param definitions definitions in force
 * @param networkNodes entry VMs that exchange heartbeats
 * @param networkSeconds driven seconds of each exchange
 * @param followers entry VMs that follow release notes
 * @param notes release notes published for each number of followers
 * @param returning entry VMs that return at once: a rack's, a failure domain's, a region's
 */
record CapacitySizes(
    List<Integer> jobSizes,
    List<Integer> upstreamsOfDomain,
    int starts,
    int startsPerSecond,
    int repetitions,
    List<Integer> heldItems,
    List<Integer> definitions,
    List<Integer> networkNodes,
    int networkSeconds,
    List<Integer> followers,
    int notes,
    List<Integer> returning) {

  static CapacitySizes full() {
    return new CapacitySizes(
        List.of(1, 10, 50, 100, 150),
        List.of(100, 300, 500, 757),
        45_000,
        4_000,
        1_000,
        List.of(5_000, 10_000, 20_000, 40_000),
        List.of(1_000, 5_000, 10_000, 25_000),
        List.of(2, 4, 8, 13, 16),
        8,
        List.of(8, 32, 128, 256, 512),
        20,
        List.of(2, 13, 52));
  }

  /** Returns sizes that only show that every part runs. */
  static CapacitySizes tiny() {
    return new CapacitySizes(
        List.of(1, 2, 3),
        List.of(10, 20, 30),
        100,
        1_000,
        10,
        List.of(10, 20, 30),
        List.of(10, 20, 40),
        List.of(2, 3),
        2,
        List.of(2, 4, 8),
        2,
        List.of(1, 2, 4));
  }

  int largestDomain() {
    return upstreamsOfDomain.getLast();
  }

  int mostDefinitions() {
    return definitions.getLast();
  }
}
