package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;

/** Workers that accept every start, so that the owner alone keeps them within their capacity. */
final class WorkerCapacityTest {

  private static final Duration STOP_TIME = Duration.ofMillis(100);

  private final FakeFleet fleet = new FakeFleet(2, Duration.ofMillis(300));

  @BeforeEach
  void acceptEveryStart() {
    setRoom(2);
  }

  private void setRoom(int tasks) {
    fleet.workers.forEach(worker -> worker.setRoom(tasks, false));
  }

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void submitJobs(OwnerVm owner, String prefix, int jobs) {
    for (int job = 0; job < jobs; job++) {
      owner.submit(FakeFleet.job(prefix + job, 2, 300, false));
    }
  }

  @Test
  void noTaskStartsOnAWorkerThatHasShrunkUntilItsRunsFit() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    submitJobs(owner, "job-", 10);
    advanceMillis(100);
    setRoom(1);
    fleet.workers.forEach(fleet::list);
    advanceMillis(5000);

    assertThat(fleet.observer.violations()).isEmpty();
    assertThat(fleet.observer.starts()).hasSize(20);
  }

  @Test
  void workerThatGrowsAgainIsUsedAgain() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    submitJobs(owner, "job-", 4);
    advanceMillis(100);
    setRoom(0);
    fleet.workers.forEach(fleet::list);
    advanceMillis(2000);
    assertThat(fleet.observer.starts()).hasSize(4);
    setRoom(2);
    fleet.workers.forEach(fleet::list);
    advanceMillis(2000);

    assertThat(fleet.observer.starts()).hasSize(8);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void nextOwnerKeepsWorkersThatShrankDuringTheChangeWithinTheirCapacity() {
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    submitJobs(first, "job-", 6);
    advanceMillis(100);
    first.kill(fleet.network);
    setRoom(1);
    fleet.workers.forEach(fleet::list);
    OwnerVm second = fleet.vm("second").takeOverShard().orElseThrow();
    submitJobs(second, "more-", 4);
    advanceMillis(8000);

    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** The worker is reached only after the time in which the job of its runs is resubmitted. */
  @Test
  void runsOfUnknownJobsOccupyTheirWorkerUntilTheyHaveStopped() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(5)));
    fleet.workers.forEach(worker -> worker.setStopTime(STOP_TIME));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 4, 5000, true));
    advanceMillis(50);
    first.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    fleet.workers.forEach(worker -> fleet.network.setPath("second", worker, FakeNetwork.Path.CUT));
    OwnedShard shard =
        Takeovers.withoutWaiting(
            fleet, second, Optional.of(Takeovers.storedLease(fleet)), second.directory.entries());
    advanceMillis(400);
    shard.jobs().submit(FakeFleet.job("job-2", 4, 5000, false), answer -> {});
    fleet.workers.forEach(worker -> fleet.network.setPath("second", worker, FakeNetwork.Path.OPEN));
    advanceMillis(3000);

    assertThat(fleet.observer.violations()).isEmpty();
    assertThat(fleet.observer.starts()).hasSize(8);
  }

  /** The directory still lists the capacity of the former process. */
  @Test
  void restartedWorkerIsNotUsedBeforeItsCapacityIsKnown() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    FakeWorker restarted = fleet.workers.getFirst();
    restarted.restart();
    restarted.setRoom(1, false);
    // The owner hears of the new process with the next report.
    advanceMillis(1100);
    submitJobs(owner, "job-", 4);
    advanceMillis(200);
    fleet.list(restarted);
    advanceMillis(5000);

    assertThat(fleet.observer.violations()).isEmpty();
    assertThat(fleet.observer.starts()).hasSize(8).anyMatch(start -> start.startsWith("a0 "));
  }
}
