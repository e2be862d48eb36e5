package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.shard.FormerWorkers;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Remembers the workers of a shard's latest known owner, for the case that this VM is the next
 * owner. An owner also uses workers whose entries have expired, so the platform's list alone does
 * not name all workers that may still have active runs.
 */
final class OwnerWorkers {

  /**
   * Age up to which the workers of an owner count as all that it may use beside the listed ones. A
   * worker that an owner began to use later was listed later, and its entry does not expire within
   * this time: entries outlast their last renewal by three heartbeat intervals.
   */
  private static final Duration MAX_AGE = Duration.ofSeconds(3);

  private final TimerService timer;
  private final int shard;
  private long term;
  private long ownerIncarnation;
  private List<WorkerEntry> workers = List.of();
  private boolean complete;
  private long knownAtNanos;

  /**
   * Creates an instance that knows no owner.
   *
   * @param shard index of the shard
   */
  OwnerWorkers(TimerService timer, int shard) {
    this.timer = timer;
    this.shard = shard;
  }

  /**
   * Records the view of another owner.
   *
   * @param requestedNanos monotonic time at which the owner was asked for it
   */
  void viewConfirmed(LeaseRecord owner, FleetView view, long requestedNanos) {
    term = owner.term();
    ownerIncarnation = owner.ownerIncarnation();
    workers = view.allWorkers();
    complete = view.completeShards().contains(shard);
    knownAtNanos = requestedNanos;
  }

  /** Records the workers of a term of this process that ends now. */
  void ownTermEnded(
      long ownTerm, long ownIncarnation, Collection<WorkerEntry> ownWorkers, boolean ownComplete) {
    term = ownTerm;
    ownerIncarnation = ownIncarnation;
    workers = List.copyOf(ownWorkers);
    complete = ownComplete;
    knownAtNanos = timer.nanoTime();
  }

  /**
   * Returns the workers that former owners may have used.
   *
   * @param predecessor lease of the last former owner; empty if it cannot be read
   * @param listed workers that this VM has seen listed, also earlier
   */
  FormerWorkers before(Optional<LeaseRecord> predecessor, Collection<WorkerEntry> listed) {
    Map<WorkerId, WorkerEntry> known = new HashMap<>();
    workers.forEach(worker -> known.put(worker.id(), worker));
    listed.forEach(worker -> known.put(worker.id(), worker));
    boolean current =
        complete
            && predecessor
                .filter(
                    lease -> lease.term() == term && lease.ownerIncarnation() == ownerIncarnation)
                .isPresent()
            && timer.nanoTime() - knownAtNanos <= MAX_AGE.toNanos();
    return current
        ? FormerWorkers.complete(known.values())
        : FormerWorkers.incomplete(known.values());
  }
}
