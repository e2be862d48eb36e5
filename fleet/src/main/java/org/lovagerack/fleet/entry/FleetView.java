package org.lovagerack.fleet.entry;

import java.util.List;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.worker.WorkerEntry;

/**
 * What an owner knows of the fleet, for entry VMs that may be cut off from it.
 *
 * @param version changes with the contents
 * @param workers workers of the owner's shards
 * @param entries entry VMs of one failure domain that are in contact with the owner
 */
public record FleetView(long version, List<WorkerEntry> workers, List<EntryVm> entries) {

  /** Nothing is known. */
  public static final FleetView EMPTY = new FleetView(0, List.of(), List.of());

  public FleetView {
    workers = List.copyOf(workers);
    entries = List.copyOf(entries);
  }
}
