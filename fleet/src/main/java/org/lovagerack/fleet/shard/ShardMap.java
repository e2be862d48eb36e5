package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.worker.WorkerId;

/**
 * Spreads jobs and workers over shards by a hash of their identifiers, so that every entry VM
 * agrees without asking.
 *
 * @param shards number of shards
 */
public record ShardMap(int shards) {

  /**
   * @throws IllegalArgumentException if there is no shard
   */
  public ShardMap {
    if (shards < 1) {
      throw new IllegalArgumentException("a fleet with " + shards + " shards");
    }
  }

  /** Returns the shard of a job. */
  public int ofJob(String jobId) {
    return place(jobId);
  }

  /** Returns the shard of a worker. */
  public int ofWorker(WorkerId worker) {
    return place(worker.value());
  }

  private int place(String text) {
    // Mixes the bits: identifiers of one kind differ in few characters.
    long mixed = text.hashCode() * 0x9E3779B97F4A7C15L;
    return (int) Long.remainderUnsigned(mixed >>> 16, shards);
  }
}
