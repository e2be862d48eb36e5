package org.lovagerack.fleet.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * Decides whether a new job is redirected to another shard. Answers the load of shards that are
 * unevenly used: workers are assigned to shards by a hash, so that shards differ in capacity by a
 * fifth, and workers and bursts come and go unevenly. Without redirection, one shard refuses jobs
 * while workers of another one are idle.
 */
final class OverflowPolicy {

  /**
   * Headroom by which another shard must exceed this one if it has no room for the whole job
   * either. Loads are up to 0.3 s old; smaller differences may have been reversed since.
   */
  private static final double MIN_GAIN = 0.1;

  private OverflowPolicy() {}

  /**
   * Returns the shard that should run a job; empty if the job should stay.
   *
   * @param tasks number of tasks that the job would start at once
   * @param own load of the shard that received the job
   * @param others loads of the shards that the job could be redirected to
   * @param hash hash of the job, which spreads jobs over several suitable shards
   */
  static OptionalInt choose(int tasks, ShardLoad own, List<ShardLoad> others, int hash) {
    if (own.availableTasks() >= tasks) {
      return OptionalInt.empty();
    }
    List<ShardLoad> candidates = new ArrayList<>();
    double totalGain = 0;
    for (ShardLoad other : others) {
      if (isBetter(tasks, own, other)) {
        candidates.add(other);
        totalGain += gain(own, other);
      }
    }
    // A choice in proportion to the gain prevents all shards from choosing the same one.
    double position = totalGain * Math.floorMod(hash, 1 << 16) / (1 << 16);
    for (ShardLoad candidate : candidates) {
      position -= gain(own, candidate);
      if (position < 0) {
        return OptionalInt.of(candidate.shard());
      }
    }
    return OptionalInt.empty();
  }

  private static boolean isBetter(int tasks, ShardLoad own, ShardLoad other) {
    ShardLoad after = other.plus(tasks);
    return after.headroom() > own.headroom()
        && (after.availableTasks() >= 0 || gain(own, after) >= MIN_GAIN);
  }

  private static double gain(ShardLoad own, ShardLoad other) {
    // Without workers of its own, the shard has an infinitely negative headroom.
    return other.headroom() - Math.max(own.headroom(), -1);
  }
}
