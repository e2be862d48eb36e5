package org.lovagerack.fleet.shard;

import java.util.function.LongSupplier;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.store.RowStore;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerFeed;
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
    EntryContacts contacts,
    ConfigurationHolder configuration,
    FleetBounds bounds,
    TenureCounters counters) {

  OwnedShard create(
      ShardRows rows, LeaseRecord lease, long leaseVersion, LeaseClock.Moment takenAt) {
    return new OwnedShard(this, rows, lease, leaseVersion, takenAt);
  }
}
