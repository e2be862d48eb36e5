package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.lovagerack.fleet.job.MalformedRecordException;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.worker.WorkerEntry;

/** Takes over shards without waiting for a lease to expire, as from a terminated process. */
final class Takeovers {

  private Takeovers() {}

  static OwnedShard withoutWaiting(
      FakeFleet fleet,
      FakeFleet.Vm vm,
      Optional<LeaseRecord> lastKnown,
      Collection<WorkerEntry> known) {
    List<ShardLease.Result> results = new ArrayList<>();
    vm.lease().takeOver(lastKnown, results::add);
    fleet.timer.advance(Duration.ofMillis(20));
    OwnedShard shard = ((ShardLease.TakenOver) results.getFirst()).shard();
    shard.start(FormerWorkers.complete(known), () -> {});
    return shard;
  }

  static LeaseRecord storedLease(FakeFleet fleet) {
    try {
      return LeaseRecord.decode(fleet.store.rows().get(ShardRows.of(0).lease()).value());
    } catch (MalformedRecordException e) {
      throw new AssertionError(e);
    }
  }
}
