package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.shard.LeaseRecord;
import org.lovagerack.fleet.shard.ShardRows;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.LivingPeers;
import org.lovagerack.fleet.support.SilentJobs;

/** Guards how long a shard is without service when its owner cannot be reached. */
final class ShardSeatTest {

  private final FakeFleet fleet = new FakeFleet(6, Duration.ofMillis(50));
  private final FakeFleet.Vm vm = fleet.vm("10.0.0.2:1");
  private final SilentOwner peers = new SilentOwner();
  private final EntryVm self = new EntryVm(vm.id, "10.0.0.2:1", "a");
  private final IslandSeat island =
      new IslandSeat(fleet.timer, peers, vm.parts, ShardRows.of(0), self);
  private final ShardSeat seat =
      new ShardSeat(
          fleet.timer,
          peers,
          vm.lease(),
          island,
          new TakeoverTurns(fleet.timer, new SplittableRandom(1), 1, () -> 0),
          0);

  private void ownerIs(long token, String address) {
    LeaseRecord record = new LeaseRecord(token, token, 0, address, token, Duration.ofMillis(400));
    RowKey key = new RowKey(ShardRows.OWNER_TABLE, "shard-0", "shard");
    seat.ownerStored(new StoredRow(key, record.encode(), token, false));
  }

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  /** A probe waits for its turn and for an answer, then the store is asked. */
  @Test
  void failureDomainThatIsCutOffServesItselfWithinASecond() {
    ownerIs(1000, "owner");
    island.learn(
        new FleetView(1, fleet.workers.stream().map(FakeWorker::entry).toList(), List.of(self)));
    seat.ownersLoaded();
    seat.start();
    run(2950);
    assertThat(seat.jobs()).isPresent();
    assertThat(island.jobs()).isEmpty();

    peers.silent = true;
    vm.storeConnection.setFault(FakeStore.Fault.SILENT);
    run(1000);

    assertThat(island.jobs()).isPresent();
    assertThat(seat.ownerSilent()).isFalse();
  }

  /** After a loss of power of all VMs, the row names an owner that is gone. */
  @Test
  void vmThatStartsProbesAtOnceTheOwnerThatTheStoreNames() {
    seat.start();
    ownerIs(1000, "owner");
    seat.ownersLoaded();

    assertThat(peers.probes).isEqualTo(1);
  }

  @Test
  void silentOwnerThatAnswersAgainIsTrustedAgain() {
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    ownerIs(1000, "owner");
    seat.ownersLoaded();
    seat.start();
    peers.silent = true;
    run(560);
    assertThat(seat.ownerSilent()).isTrue();

    peers.silent = false;
    run(600);

    assertThat(seat.ownerSilent()).isFalse();
    assertThat(seat.owned()).isFalse();
  }

  /**
   * The owner drops the jobs of an entry VM that is silent for 900 ms, and this one still has
   * connections of clients whose jobs are at work.
   */
  @Test
  void vmThatStopsStaysInContactWithTheOwner() {
    ownerIs(1000, "owner");
    seat.ownersLoaded();
    seat.start();
    run(1000);
    seat.retire(() -> {});
    peers.probes = 0;
    run(3000);

    assertThat(peers.probes).isGreaterThanOrEqualTo(9);
    assertThat(seat.owned()).isFalse();
  }

  @Test
  void vmThatStopsTakesNoShard() {
    ownerIs(1000, "owner");
    seat.ownersLoaded();
    seat.start();
    seat.retire(() -> {});
    peers.silent = true;
    run(3000);
    ownerIs(2000, "");
    run(3000);

    assertThat(seat.owned()).isFalse();
    assertThat(vm.storeConnection.commits()).isZero();
  }

  private final class SilentOwner extends LivingPeers {
    private boolean silent;
    private int probes;

    @Override
    public JobService jobsAt(String address, long incarnation) {
      return new SilentJobs();
    }

    @Override
    public void probe(
        String address, long incarnation, Duration timeout, Consumer<Liveness> callback) {
      probes++;
      if (silent) {
        fleet.timer.after(timeout, () -> callback.accept(new Silent()));
      } else {
        callback.accept(new Alive(0));
      }
    }
  }
}
