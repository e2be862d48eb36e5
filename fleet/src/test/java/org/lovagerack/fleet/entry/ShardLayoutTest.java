package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.shard.ShardMap;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.worker.WorkerId;

/** Tests that all entry VMs use the same number of shards. */
final class ShardLayoutTest {

  private final FakeFleet fleet = new FakeFleet(12, Duration.ofMillis(50));

  private ShardLayout layout(FakeFleet.Vm vm) {
    return new ShardLayout(fleet.timer, vm.storeConnection, vm.shardFactory.workers(), 4);
  }

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void allVmsUseTheShardCountOfTheFirstVm() {
    List<Integer> decided = new ArrayList<>();
    FakeFleet.Vm late = fleet.vm("late");
    layout(fleet.vm("first")).resolve(decided::add);
    layout(fleet.vm("second")).resolve(decided::add);
    run(4000);
    late.directory.remove(new WorkerId("a0"));
    layout(late).resolve(decided::add);
    run(100);

    assertThat(decided).containsExactly(3, 3, 3);
  }

  @Test
  void shardCountIsNotDecidedWhileWorkersRegister() {
    List<Integer> decided = new ArrayList<>();
    FakeFleet.Vm vm = fleet.vm("first");
    fleet.workers.forEach(worker -> vm.directory.remove(worker.entry().id()));
    layout(vm).resolve(decided::add);
    for (int worker = 0; worker < 12; worker++) {
      run(700);
      vm.directory.put(fleet.workers.get(worker).entry());
    }
    assertThat(decided).isEmpty();
    run(3000);

    assertThat(decided).containsExactly(3);
  }

  @Test
  void shardCountIsDecidedAfterAStoreOutage() {
    List<Integer> decided = new ArrayList<>();
    FakeFleet.Vm vm = fleet.vm("first");
    vm.storeConnection.setFault(FakeStore.Fault.REFUSED);
    layout(vm).resolve(decided::add);
    run(10_000);
    assertThat(decided).isEmpty();
    vm.storeConnection.setFault(FakeStore.Fault.NONE);
    run(4000);

    assertThat(decided).containsExactly(3);
  }

  @Test
  void jobsAndWorkersAreSpreadEvenly() {
    ShardMap map = new ShardMap(6);
    int[] jobs = new int[6];
    int[] workers = new int[6];
    for (int number = 0; number < 6000; number++) {
      jobs[map.ofJob("%016x".formatted(number * 77L))]++;
      workers[map.ofWorker(new WorkerId("i-" + Integer.toHexString(number)))]++;
    }

    assertThat(jobs).satisfies(ShardLayoutTest::assertEven);
    assertThat(workers).satisfies(ShardLayoutTest::assertEven);
  }

  private static void assertEven(int[] counts) {
    assertThat(Arrays.stream(counts).min().orElseThrow()).isGreaterThan(850);
    assertThat(Arrays.stream(counts).max().orElseThrow()).isLessThan(1150);
  }
}
