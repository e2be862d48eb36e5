package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.RouterProcesses;

/**
 * Owners end while a worker whose entry has expired still runs their tasks. Guards against tasks
 * that run twice because a new owner does not know of that worker.
 */
final class UnlistedWorkerTest {

  private static final Duration TASK_TIME = Duration.ofMillis(2500);

  private final FakeFleet fleet = new FakeFleet(4, TASK_TIME);
  private final RouterProcesses processes = new RouterProcesses(fleet, 40);
  private final List<JobAnswer> answers = new ArrayList<>();

  private void run(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  /** The entry of a worker that cannot reach the store expires at all VMs. */
  private void expire(FakeWorker worker) {
    processes.vms().forEach(vm -> vm.directory.remove(worker.entry().id()));
  }

  private FakeWorker workerOfAStartedJob() {
    run(3000);
    processes.router("first").submit(FakeFleet.job("job-1", 1, 2500, false), answers::add);
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
    processes.router(name).state("job-1", answers::add);
    run(50);

    assertThat(fleet.observer.violations()).isEmpty();
    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  @Test
  void nextOwnerWaitsForAnUnlistedWorkerOfTheFormerOwner() {
    processes.start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    second.directory.remove(worker.entry().id());
    processes.start(second);
    run(700);
    processes.kill("first");

    assertCompletedOnce("second");
  }

  @Test
  void ownerThatNeverSawTheFormerOwnersWorkersWaitsForTheirLeases() {
    processes.start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    second.directory.remove(worker.entry().id());
    processes.kill("first");
    processes.start(second);

    assertCompletedOnce("second");
  }

  @Test
  void ownerAfterTwoShortTermsWaitsForTheWorkersOfTheFirst() {
    processes.start("first");
    FakeWorker worker = workerOfAStartedJob();
    expire(worker);
    FakeFleet.Vm second = fleet.vm("second");
    FakeFleet.Vm third = fleet.vm("third");
    second.directory.remove(worker.entry().id());
    third.directory.remove(worker.entry().id());
    processes.kill("first");
    processes.start(second);
    run(60);
    assertThat(processes.router("second").ownedShards()).isEqualTo(1);
    processes.start(third);
    run(320);
    processes.kill("second");

    assertCompletedOnce("third");
  }

  @Test
  void viewOfAnOwnerKeepsAnUnlistedWorkerWithRuns() {
    processes.start("first");
    FakeWorker worker = workerOfAStartedJob();
    long version = processes.router("first").viewVersion("a");
    expire(worker);

    assertThat(processes.router("first").viewVersion("a")).isNotEqualTo(version);
    assertThat(processes.router("first").view("a").workersOf(0).workers())
        .hasSize(fleet.workers.size());
    assertThat(processes.router("first").view("a").workers()).hasSize(fleet.workers.size() - 1);
    assertThat(processes.router("first").view("a").completeShards()).containsExactly(0);
  }
}
