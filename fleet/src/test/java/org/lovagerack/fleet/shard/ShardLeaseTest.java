package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.support.FakeFleet;

/** Guards the change of a shard's owner against slow stores and against living owners. */
final class ShardLeaseTest {

  private final FakeFleet fleet = new FakeFleet(2, Duration.ofMillis(50));
  private final List<ShardLease.Result> results = new ArrayList<>();

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void vacantShardIsTakenWhileTheStoreIsSlow() {
    fleet.store.setLatency(Duration.ofMillis(550));
    ShardLease lease = fleet.vm("first").lease();
    for (int attempt = 0; attempt < 4; attempt++) {
      lease.take(Optional.empty(), results::add);
      run(2500);
    }

    assertThat(results).anyMatch(result -> result instanceof ShardLease.Taken);
  }

  /** The store of a day on which it was 55 times slower, while the owner stopped as planned. */
  @Test
  void transactionIsNotGivenUpWhenTheReadBeforeItWasSlow() {
    fleet.store.setLatency(Duration.ofMillis(350), Duration.ofMillis(450));
    fleet.vm("first").lease().take(Optional.empty(), results::add);
    run(1000);

    assertThat(results).hasSize(1);
    assertThat(results.getFirst()).isInstanceOf(ShardLease.Taken.class);
  }

  @Test
  void newOwnerOfASlowStoreKnowsTheJobsAfterOneRead() {
    fleet.store.setLatency(Duration.ofMillis(300), Duration.ofMillis(300));
    fleet.vm("first").lease().take(Optional.empty(), results::add);
    run(700);
    OwnedShard shard = ((ShardLease.Taken) results.getFirst()).shard();
    shard.start(List.of(), () -> {});
    run(350);

    assertThat(shard.ready()).isTrue();
  }

  @Test
  void shardThatAnotherVmHasTakenMeanwhileIsLeftAlone() {
    fleet.vm("first").lease().take(Optional.empty(), results::add);
    run(100);
    fleet.vm("second").lease().take(Optional.empty(), results::add);
    run(100);

    assertThat(results.get(0)).isInstanceOf(ShardLease.Taken.class);
    assertThat(results.get(1)).isInstanceOf(ShardLease.HeldByOther.class);
  }

  @Test
  void shardWhoseOwnerRenewsItsLeaseIsLeftAlone() {
    assertThat(fleet.vm("first").takeShard()).isPresent();
    fleet.vm("second").lease().takeIfUnrenewed(results::add);
    run(5000);

    assertThat(results).hasSize(1);
    assertThat(results.getFirst()).isInstanceOf(ShardLease.Undecided.class);
  }

  @Test
  void shardWhoseOwnerIsSilentIsTakenUnderAHigherToken() {
    long before = fleet.vm("first").takeShard().orElseThrow().shard().token();
    FakeFleet.Vm third = fleet.vm("third");
    long token = takenFromSilent(third);

    assertThat(token).isGreaterThan(before);
  }

  private long takenFromSilent(FakeFleet.Vm vm) {
    FakeFleet quiet = new FakeFleet(2, Duration.ofMillis(50));
    quiet.store.put(
        ShardRows.of(0).lease(), fleet.store.rows().get(ShardRows.of(0).lease()).value().toText());
    quiet.vm(vm.name).lease().takeIfUnrenewed(results::add);
    quiet.timer.advance(Duration.ofSeconds(2));
    return ((ShardLease.Taken) results.getLast()).shard().token();
  }
}
