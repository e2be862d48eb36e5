package org.lovagerack.fleet.shard;

import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerFeed;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Creates owned shards, with the dependencies that they share.
 *
 * @param timer source of time
 * @param wallMillis returns the wall clock time in Unix milliseconds
 * @param clock clock that measures the lease
 * @param store store of the shard rows
 * @param calls client for requests to workers
 * @param workers workers listed by the platform
 * @param mayUse selects the workers of the shard
 * @param neighbours the other shards
 * @param entryLiveness liveness of the entry VMs
 * @param evacuations failure domains whose workers get no new tasks
 * @param configuration holder of the configuration in force
 * @param bounds time limits set by the platform
 * @param lookAheadPlacement whether workers are reserved for tasks that fit nowhere
 * @param counters receives job counts
 */
public record OwnedShardFactory(
    TimerService timer,
    LongSupplier wallMillis,
    LeaseClock clock,
    RowStore store,
    WorkerCalls calls,
    WorkerFeed workers,
    Predicate<WorkerId> mayUse,
    Neighbours neighbours,
    EntryLiveness entryLiveness,
    Evacuations evacuations,
    ConfigurationHolder configuration,
    FleetBounds bounds,
    boolean lookAheadPlacement,
    JobCounters counters) {

  /** Returns a copy restricted to the workers of one shard. */
  public OwnedShardFactory forShard(ShardMap map, int shard, Neighbours others) {
    return copyWith(worker -> map.ofWorker(worker) == shard, others, evacuations, counters);
  }

  /** Returns a copy that transfers no jobs to other shards. */
  OwnedShardFactory withoutNeighbours() {
    return copyWith(mayUse, Neighbours.NONE, evacuations, counters);
  }

  /**
   * Returns a copy for work that clients did not request and that uses no workers of the platform:
   * it discards counts and is not subject to evacuations.
   */
  public OwnedShardFactory forInternalWork() {
    return copyWith(mayUse, neighbours, Evacuations.none(), JobCounters.NONE);
  }

  private OwnedShardFactory copyWith(
      Predicate<WorkerId> usableWorkers,
      Neighbours usedNeighbours,
      Evacuations usedEvacuations,
      JobCounters usedCounters) {
    return new OwnedShardFactory(
        timer,
        wallMillis,
        clock,
        store,
        calls,
        workers,
        usableWorkers,
        usedNeighbours,
        entryLiveness,
        usedEvacuations,
        configuration,
        bounds,
        lookAheadPlacement,
        usedCounters);
  }

  OwnedShard create(
      ShardRows rows, LeaseRecord lease, long leaseVersion, LeaseClock.Timestamp takenOverAt) {
    return new OwnedShard(this, rows, lease, leaseVersion, takenOverAt);
  }
}
