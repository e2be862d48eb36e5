package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.support.FakeFleet;

/** Tests takeovers with a slow store and with owners that are still active. */
final class ShardLeaseTest {

  private final FakeFleet fleet = new FakeFleet(2, Duration.ofMillis(50));
  private final List<ShardLease.Result> results = new ArrayList<>();

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void shardWithoutOwnerIsTakenOverWhileTheStoreIsSlow() {
    fleet.store.setLatency(Duration.ofMillis(550));
    ShardLease lease = fleet.vm("first").lease();
    for (int attempt = 0; attempt < 4; attempt++) {
      lease.takeOver(Optional.empty(), results::add);
      advanceMillis(2500);
    }

    assertThat(results).anyMatch(result -> result instanceof ShardLease.TakenOver);
  }

  /** Reproduces a graceful shutdown of the owner while the store was 55 times slower than usual. */
  @Test
  void writeTimeoutFollowsTheDurationOfTheRead() {
    fleet.store.setLatency(Duration.ofMillis(350), Duration.ofMillis(450));
    fleet.vm("first").lease().takeOver(Optional.empty(), results::add);
    advanceMillis(1000);

    assertThat(results).hasSize(1);
    assertThat(results.getFirst()).isInstanceOf(ShardLease.TakenOver.class);
  }

  @Test
  void recoveryReadsBothTablesAtTheSameTime() {
    fleet.store.setLatency(Duration.ofMillis(300), Duration.ofMillis(300));
    fleet.vm("first").lease().takeOver(Optional.empty(), results::add);
    advanceMillis(700);
    OwnedShard shard = ((ShardLease.TakenOver) results.getFirst()).shard();
    shard.start(FormerWorkers.complete(List.of()), () -> {});
    advanceMillis(350);

    assertThat(shard.ready()).isTrue();
  }

  @Test
  void shardThatAnotherVmOwnsIsNotTakenOver() {
    fleet.vm("first").lease().takeOver(Optional.empty(), results::add);
    advanceMillis(100);
    fleet.vm("second").lease().takeOver(Optional.empty(), results::add);
    advanceMillis(100);

    assertThat(results.get(0)).isInstanceOf(ShardLease.TakenOver.class);
    assertThat(results.get(1)).isInstanceOf(ShardLease.OwnedByOther.class);
  }

  @Test
  void shardWhoseOwnerRenewsItsLeaseIsNotTakenOver() {
    assertThat(fleet.vm("first").takeOverShard()).isPresent();
    fleet.vm("second").lease().takeOverIfUnrenewed(results::add);
    advanceMillis(5000);

    assertThat(results).hasSize(1);
    assertThat(results.getFirst()).isInstanceOf(ShardLease.Undecided.class);
  }

  @Test
  void shardOfUnresponsiveOwnerIsTakenOverUnderAHigherToken() {
    long before = fleet.vm("first").takeOverShard().orElseThrow().shard().token();
    FakeFleet.Vm third = fleet.vm("third");
    long token = takeOverFromUnresponsiveOwner(third);

    assertThat(token).isGreaterThan(before);
  }

  private long takeOverFromUnresponsiveOwner(FakeFleet.Vm vm) {
    FakeFleet otherFleet = new FakeFleet(2, Duration.ofMillis(50));
    otherFleet.store.put(
        ShardRows.of(0).lease(), fleet.store.rows().get(ShardRows.of(0).lease()).value().toText());
    otherFleet.vm(vm.name).lease().takeOverIfUnrenewed(results::add);
    otherFleet.timer.advance(Duration.ofSeconds(2));
    return ((ShardLease.TakenOver) results.getLast()).shard().token();
  }
}
