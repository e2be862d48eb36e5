package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.worker.WorkerDirectory;

/**
 * Serves best-effort jobs of a shard on the workers of one failure domain while the failure domain
 * cannot reach the shard's owner or the store.
 */
public final class Island {

  private final ShardController controller;

  /**
   * Creates an island that is inactive until {@link #start}.
   *
   * @param dependencies dependencies of the controller
   * @param rows rows of the shard
   * @param token fencing token, greater than the owner's
   * @param workers workers of the failure domain
   */
  public Island(
      OwnedShardFactory dependencies, ShardRows rows, long token, WorkerDirectory workers) {
    this.controller =
        new ShardController(
            dependencies.withoutNeighbours(), rows, new IslandLog(token), workers, () -> true);
  }

  /** Starts serving jobs. */
  public void start() {
    controller.startWithoutStore();
  }

  /** Returns the service for the island's jobs. */
  public JobService jobs() {
    return controller;
  }

  /** Stops all activity immediately; entry VMs resubmit their jobs to the owner. */
  public void close() {
    controller.close();
  }
}
