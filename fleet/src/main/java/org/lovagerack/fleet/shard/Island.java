package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.worker.WorkerDirectory;

/**
 * The part of a shard that a failure domain serves by itself while it is cut off from the shard's
 * owner and from the store: jobs of best effort, on the workers of the failure domain.
 */
public final class Island {

  private final ShardTenure tenure;

  /**
   * Creates an island that does nothing until {@link #start}.
   *
   * @param parts what an owner needs
   * @param rows rows of the shard
   * @param token fencing token, above that of the owner
   * @param workers workers of the failure domain
   */
  public Island(OwnedShardFactory parts, ShardRows rows, long token, WorkerDirectory workers) {
    this.tenure = new ShardTenure(parts, rows, new IslandLog(token), workers);
  }

  /** Starts to serve. */
  public void start() {
    tenure.startWithoutStore();
  }

  /** Returns the calls that clients make about the island's jobs. */
  public JobService jobs() {
    return tenure;
  }

  /** Ends all activity at once; entry VMs submit their jobs to the owner again. */
  public void close() {
    tenure.close();
  }
}
