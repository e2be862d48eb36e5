package org.lovagerack.benchmarks.capacity;

import java.util.List;

/**
 * Sizes at which the slopes are measured.
 *
 * @param jobSizes tasks per job
 * @param domainUpstreams numbers of upstreams in one failure domain
 * @param starts task starts per measured value
 * @param startsPerSecond rate of the starts in simulated time
 * @param repetitions repetitions of short actions
 * @param retainedItems numbers of items retained in memory
 * @param definitions numbers of definitions in force
 * @param peerNodes numbers of entry VMs that exchange heartbeats
 * @param peerSeconds simulated duration of each exchange, in seconds
 * @param followers numbers of entry VMs that follow release notes
 * @param notes release notes published for each number of followers
 * @param restartingVms numbers of entry VMs that restart at the same time: those of a rack, a
 *     failure domain and a region
 */
record CapacitySizes(
    List<Integer> jobSizes,
    List<Integer> domainUpstreams,
    int starts,
    int startsPerSecond,
    int repetitions,
    List<Integer> retainedItems,
    List<Integer> definitions,
    List<Integer> peerNodes,
    int peerSeconds,
    List<Integer> followers,
    int notes,
    List<Integer> restartingVms) {

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

  /** Returns sizes that only check that every measurement runs. */
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

  int maxDomainUpstreams() {
    return domainUpstreams.getLast();
  }

  int maxDefinitions() {
    return definitions.getLast();
  }
}
