package org.lovagerack.fleet.shard;

import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerFeed;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Creates what an owner needs for a shard that it has taken.
 *
 * @param timer source of time
 * @param wallMillis returns the time of day in Unix milliseconds
 * @param clock measures the lease
 * @param store the store
 * @param calls orders to workers
 * @param workers workers that the platform lists
 * @param mayUse workers of the shard
 * @param contacts entry VMs in contact
 * @param configuration configuration in force
 * @param bounds bounds that the platform sets
 * @param counters receives counts
 */
public record OwnedShardFactory(
    TimerService timer,
    LongSupplier wallMillis,
    LeaseClock clock,
    RowStore store,
    WorkerCalls calls,
    WorkerFeed workers,
    Predicate<WorkerId> mayUse,
    EntryContacts contacts,
    ConfigurationHolder configuration,
    FleetBounds bounds,
    TenureCounters counters) {

  /** Returns the same parts with the workers of one shard. */
  public OwnedShardFactory forShard(ShardMap map, int shard) {
    return with(worker -> map.ofWorker(worker) == shard, counters);
  }

  /** Returns the same parts with counters that nobody reads, for work that is not the clients'. */
  public OwnedShardFactory withoutCounters() {
    return with(mayUse, TenureCounters.NONE);
  }

  private OwnedShardFactory with(Predicate<WorkerId> workersOfUse, TenureCounters usedCounters) {
    return new OwnedShardFactory(
        timer,
        wallMillis,
        clock,
        store,
        calls,
        workers,
        workersOfUse,
        contacts,
        configuration,
        bounds,
        usedCounters);
  }

  OwnedShard create(
      ShardRows rows, LeaseRecord lease, long leaseVersion, LeaseClock.Moment takenAt) {
    return new OwnedShard(this, rows, lease, leaseVersion, takenAt);
  }
}
