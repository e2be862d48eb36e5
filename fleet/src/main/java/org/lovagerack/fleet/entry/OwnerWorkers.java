package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagerack.fleet.shard.FormerWorkers;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.worker.WorkerDirectory;
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
  private final WorkerDirectory directory;
  private Optional<LeaseRecord> owner = Optional.empty();
  private FormerWorkers workers = FormerWorkers.incomplete(List.of());
  private long knownAtNanos;

  /**
   * Creates an instance that knows no owner.
   *
   * @param directory workers of all shards that this VM has seen listed, also earlier
   */
  OwnerWorkers(TimerService timer, WorkerDirectory directory) {
    this.timer = timer;
    this.directory = directory;
  }

  /**
   * Records the workers of an owner.
   *
   * @param lease lease of the owner's term
   * @param atNanos monotonic time at which it had no other workers
   */
  void record(LeaseRecord lease, FormerWorkers ofOwner, long atNanos) {
    owner = Optional.of(lease);
    workers = ofOwner;
    knownAtNanos = atNanos;
  }

  /**
   * Returns the workers that former owners may have used.
   *
   * @param predecessor lease of the last former owner; empty if it cannot be read
   */
  FormerWorkers before(Optional<LeaseRecord> predecessor) {
    Map<WorkerId, WorkerEntry> known = new HashMap<>();
    workers.workers().forEach(worker -> known.put(worker.id(), worker));
    directory.entries().forEach(worker -> known.put(worker.id(), worker));
    boolean current =
        owner.isPresent()
            && predecessor.filter(owner.get()::sameTerm).isPresent()
            && timer.nanoTime() - knownAtNanos <= MAX_AGE.toNanos();
    return new FormerWorkers(List.copyOf(known.values()), workers.complete() && current);
  }
}
