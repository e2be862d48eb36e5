package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.ConnectedPeers;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;

/**
 * Owners end while a worker whose entry has expired still runs their tasks. Guards against tasks
 * that run twice because a new owner does not know of that worker.
 */
final class UnlistedWorkerTest {

  private static final Duration TASK_TIME = Duration.ofMillis(2500);

  private final FakeFleet fleet = new FakeFleet(4, TASK_TIME);
  private final ConnectedPeers peers = new ConnectedPeers();
  private final Map<String, JobRouter> routers = new HashMap<>();
  private final Map<String, FakeFleet.Vm> vms = new HashMap<>();
  private final List<JobAnswer> answers = new ArrayList<>();

  private void start(String name) {
    start(name, fleet.vm(name));
  }

  private void start(String name, FakeFleet.Vm vm) {
    JobRouter router =
        new JobRouter(
            fleet.timer,
            new SplittableRandom(name.hashCode()),
            peers,
            vm.shardFactory,
            new EntryVm(vm.id, name, "a"),
            0.75,
            40);
    vms.put(name, vm);
    routers.put(name, router);
    peers.add(name, router);
    router.start();
  }

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void kill(String name) {
    peers.end(name);
    fleet.network.stopVm(name);
    vms.get(name).storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    routers.get(name).releaseShards(() -> {});
  }

  /** The entry of a worker that cannot reach the store expires at all VMs. */
  private void expire(FakeWorker worker) {
    vms.values().forEach(vm -> vm.directory.remove(worker.entry().id()));
  }

  private FakeWorker workerOfAStartedJob() {
    run(3000);
    routers.get("first").submit(FakeFleet.job("job-1", 1, 2500, false), answers::add);
    run(60);
    assertThat(answers).containsExactly(new JobAnswer.Accepted());
    return fleet.workers.stream()
        .filter(worker -> worker.runningTasks() > 0)
        .findFirst()
        .orElseThrow();
  }

  private void assertCompletedOnce(String name) {
    run(15_000);
    answers.clear();
    routers.get(name).state("job-1", answers::add);
    run(50);

    assertThat(fleet.observer.violations()).isEmpty();
    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  @Test
  void nextOwnerWaitsForAnUnlistedWorkerOfTheFormerOwner() {
    start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    second.directory.remove(worker.entry().id());
    start("second", second);
    run(700);
    kill("first");

    assertCompletedOnce("second");
  }

  @Test
  void ownerThatNeverSawTheFormerOwnersWorkersWaitsForTheirLeases() {
    start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    second.directory.remove(worker.entry().id());
    kill("first");
    start("second", second);

    assertCompletedOnce("second");
  }

  @Test
  void ownerAfterTwoShortTermsWaitsForTheWorkersOfTheFirst() {
    start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    FakeFleet.Vm third = fleet.vm("third");
    second.directory.remove(worker.entry().id());
    third.directory.remove(worker.entry().id());
    kill("first");
    start("second", second);
    run(60);
    assertThat(routers.get("second").ownedShards()).isEqualTo(1);
    start("third", third);
    run(320);
    kill("second");

    assertCompletedOnce("third");
  }

  @Test
  void viewOfAnOwnerKeepsAnUnlistedWorkerWithRuns() {
    start("first");
    FakeWorker worker = workerOfAStartedJob();
    long version = routers.get("first").viewVersion("a");
    expire(worker);

    assertThat(routers.get("first").viewVersion("a")).isNotEqualTo(version);
    assertThat(routers.get("first").view("a").allWorkers()).hasSize(fleet.workers.size());
    assertThat(routers.get("first").view("a").workers()).hasSize(fleet.workers.size() - 1);
    assertThat(routers.get("first").view("a").completeShards()).containsExactly(0);
  }
}
