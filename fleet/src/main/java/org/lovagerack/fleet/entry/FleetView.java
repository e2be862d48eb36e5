package org.lovagerack.fleet.entry;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.shard.FormerWorkers;
import org.lovagerack.fleet.worker.WorkerEntry;

/**
 * An owner's information about the fleet. Entry VMs copy it, so that they can continue to serve
 * jobs when a network partition cuts them off from the owner.
 *
 * @param version number that changes whenever the contents change
 * @param workers listed workers of the owner's shards
 * @param unlistedWorkers workers of the owner's shards that the platform no longer lists but that
 *     may still have active runs
 * @param completeShards indexes of the owner's shards for which no other unlisted worker can have
 *     active runs
 * @param entries entry VMs of one failure domain that are in contact with the owner
 */
public record FleetView(
    long version,
    List<WorkerEntry> workers,
    List<WorkerEntry> unlistedWorkers,
    Set<Integer> completeShards,
    List<EntryVm> entries) {

  /** View without workers and entry VMs. */
  public static final FleetView EMPTY = new FleetView(0, List.of(), List.of(), Set.of(), List.of());

  public FleetView {
    workers = List.copyOf(workers);
    unlistedWorkers = List.copyOf(unlistedWorkers);
    completeShards = Set.copyOf(completeShards);
    entries = List.copyOf(entries);
  }

  /** Returns the workers that the owner may use for one of its shards, listed or not. */
  FormerWorkers workersOf(int shard) {
    return new FormerWorkers(
        Stream.concat(workers.stream(), unlistedWorkers.stream()).toList(),
        completeShards.contains(shard));
  }
}
