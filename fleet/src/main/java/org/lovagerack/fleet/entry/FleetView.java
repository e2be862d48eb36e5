package org.lovagerack.fleet.entry;

import java.util.List;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.worker.WorkerEntry;

/**
 * An owner's information about the fleet. Entry VMs copy it, so that they can continue to serve
 * jobs when a network partition cuts them off from the owner.
 *
 * @param version number that changes whenever the contents change
 * @param workers workers of the owner's shards
 * @param entries entry VMs of one failure domain that are in contact with the owner
 */
public record FleetView(long version, List<WorkerEntry> workers, List<EntryVm> entries) {

  /** View without workers and entry VMs. */
  public static final FleetView EMPTY = new FleetView(0, List.of(), List.of());

  public FleetView {
    workers = List.copyOf(workers);
    entries = List.copyOf(entries);
  }
}
