package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.worker.WorkerId;

/**
 * Maps jobs and workers to shards by a hash of their identifiers. All entry VMs compute the same
 * mapping without communication.
 *
 * @param shards number of shards
 */
public record ShardMap(int shards) {

  /**
   * @throws IllegalArgumentException if there is no shard
   */
  public ShardMap {
    if (shards < 1) {
      throw new IllegalArgumentException("number of shards is not positive: " + shards);
    }
  }

  /** Returns the shard of a job. */
  public int ofJob(String jobId) {
    return shardOf(jobId);
  }

  /** Returns the shard of a worker. */
  public int ofWorker(WorkerId worker) {
    return shardOf(worker.value());
  }

  private int shardOf(String text) {
    // Mixes the bits because identifiers of the same kind differ in only a few characters.
    long mixed = text.hashCode() * 0x9E3779B97F4A7C15L;
    return (int) Long.remainderUnsigned(mixed >>> 16, shards);
  }
}
