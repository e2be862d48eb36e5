package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.List;
import org.lovagerack.fleet.worker.WorkerEntry;

/**
 * Workers on which runs of a shard's former owners may still be active.
 *
 * @param workers the known ones, whether or not the platform still lists them
 * @param complete whether every worker that is missing here is one that the platform lists now;
 *     otherwise, a former owner may have used workers that nobody lists any more
 */
public record FormerWorkers(List<WorkerEntry> workers, boolean complete) {

  public FormerWorkers {
    workers = List.copyOf(workers);
  }

  /** Returns workers beside which a former owner can have used only those that are listed now. */
  public static FormerWorkers complete(Collection<WorkerEntry> workers) {
    return new FormerWorkers(List.copyOf(workers), true);
  }

  /** Returns workers beside which a former owner may have used others. */
  public static FormerWorkers incomplete(Collection<WorkerEntry> workers) {
    return new FormerWorkers(List.copyOf(workers), false);
  }
}
