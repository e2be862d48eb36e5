package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.CarriedState;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.foundation.error.ErrorKind;

/** Runs jobs under consecutive owners and checks that no task has two concurrent runs. */
final class OwnerChangeTest {

  private static final Duration TASK_TIME = Duration.ofMillis(100);

  /** The longest lease of a worker, and no further second in which an owner notices its end. */
  private static final long LEASE_AND_LESS_THAN_A_SECOND = 2000;

  private final FakeFleet fleet = new FakeFleet(4, TASK_TIME);

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void duplicateOfDurableJobIsOneJobUnderTheNextOwner() {
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 2, 100, false));
    advanceMillis(500);
    first.kill(fleet.network);
    OwnerVm second = fleet.vm("second").takeOverShard().orElseThrow();
    advanceMillis(50);

    List<JobAnswer> answers = second.submit(FakeFleet.job("job-1", 2, 100, false));
    advanceMillis(500);

    assertThat(answers).containsExactly(new JobAnswer.Accepted());
    assertThat(second.state("job-1")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(2);
  }

  @Test
  void nextOwnerContinuesDurableJobsWithoutRunningATaskTwice() {
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 12, 100, false));
    advanceMillis(150);
    first.kill(fleet.network);

    OwnerVm second = fleet.vm("second").takeOverShard().orElseThrow();
    advanceMillis(4000);

    assertThat(second.state("job-1")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void resubmittedJobClaimsInheritedRuns() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(2500)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 4, 2500, true));
    advanceMillis(50);
    List<JobAnswer> answers = new ArrayList<>();
    first.shard().release(() -> {});
    advanceMillis(20);
    first.shard().close();
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard = takeOverWithoutWaiting(second, Optional.empty(), second.directory.entries());
    advanceMillis(60);
    shard.jobs().submit(FakeFleet.job("job-1", 4, 2500, true).asRepeated(), answers::add);
    advanceMillis(3000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(4);
  }

  /** Eight tasks of two jobs fill the four workers, so a third job has no run when it closes. */
  @Test
  void closingOwnerReportsJobsThatNeverRanAndWhatTheOthersHaveRun() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> running = owner.submit(FakeFleet.job("running", 8, 100, true));
    List<JobAnswer> waiting = owner.submit(FakeFleet.job("waiting", 2, 100, true));
    List<JobAnswer> repeated = owner.submit(FakeFleet.job("repeated", 2, 100, true).asRepeated());
    advanceMillis(20);
    owner.shard().close();

    assertThat(carried(running).nextRun()).isEqualTo(7);
    assertThat(carried(running).progress().doneTasks()).isEmpty();
    assertThat(waiting).containsExactly(new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO));
    assertThat(carried(repeated).nextRun()).isEqualTo(3);
  }

  private static CarriedState carried(List<JobAnswer> answers) {
    assertThat(answers).hasSize(1);
    return ((JobAnswer.HandedBack) answers.getFirst()).handback();
  }

  /**
   * Guards against tasks that run again because the next owner of a best-effort job does not know
   * that they have ended. Eight of the twelve tasks fit on the workers at once.
   */
  @Test
  void nextOwnerRunsOnlyTheRestOfABestEffortJob() {
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> interrupted = first.submit(FakeFleet.job("job-1", 12, 100, true));
    advanceMillis(130);
    first.shard().release(() -> {});
    advanceMillis(20);
    first.shard().close();
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard = takeOverWithoutWaiting(second, Optional.empty(), second.directory.entries());
    advanceMillis(20);
    List<JobAnswer> answers = new ArrayList<>();
    shard
        .jobs()
        .submit(
            FakeFleet.job("job-1", 12, 100, true).continuing(carried(interrupted)), answers::add);
    advanceMillis(1000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(12);
  }

  @Test
  void resubmittedJobWaitsForEndOfRunsBeingStopped() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(1)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 2, 1000, true));
    advanceMillis(50);
    first.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard =
        takeOverWithoutWaiting(second, Optional.of(storedLease()), second.directory.entries());
    advanceMillis(590);
    // The stop request does not arrive, so the run continues until its lease expires.
    fleet.network.setPath("second", fleet.workers.getFirst(), FakeNetwork.Path.CUT);
    fleet.workers.getFirst().setDraining(true);
    second.directory.put(fleet.workers.getFirst().entry());
    advanceMillis(40);
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(FakeFleet.job("job-1", 2, 1000, true).asRepeated(), answers::add);
    advanceMillis(4000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void leaseOfUnclaimedRunIsNotExtended() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(4)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 4, 4000, true));
    advanceMillis(50);
    // The first owner cannot reach one worker and the store; the second can reach only these two.
    first.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    FakeFleet.Vm second = fleet.vm("second");
    for (FakeWorker worker : fleet.workers) {
      boolean lost = worker == fleet.workers.getFirst();
      fleet.network.setPath(lost ? "first" : "second", worker, FakeNetwork.Path.RESET);
    }
    advanceMillis(600);
    takeOverWithoutWaiting(second, Optional.of(storedLease()), second.directory.entries());
    advanceMillis(4000);

    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void resubmittedJobWaitsForAWorkerWhoseDirectoryEntryExpired() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(900)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 2, 900, true));
    advanceMillis(50);
    first.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    List<WorkerEntry> known = List.copyOf(second.directory.entries());
    // The worker that runs the job could not reach the store, and neither could its owner.
    second.directory.remove(fleet.workers.getFirst().entry().id());
    fleet.network.setPath("second", fleet.workers.getFirst(), FakeNetwork.Path.CUT);
    OwnedShard shard = takeOverWithoutWaiting(second, Optional.of(storedLease()), known);
    advanceMillis(60);
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(FakeFleet.job("job-1", 2, 900, true).asRepeated(), answers::add);
    advanceMillis(4000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void resubmittedJobWaitsWhileAWorkerMayStillRunIt() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(1)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 4, 1000, true));
    advanceMillis(50);
    // The second owner cannot reach a worker that continues its run under the first owner's lease.
    fleet.network.setPath("second", fleet.workers.getFirst(), FakeNetwork.Path.CUT);
    first.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard =
        takeOverWithoutWaiting(second, Optional.of(storedLease()), second.directory.entries());
    advanceMillis(20);
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(FakeFleet.job("job-1", 4, 1000, true).asRepeated(), answers::add);
    advanceMillis(6000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void durableTaskIsNotRestartedWhileAnUnreachableWorkerMayRunIt() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(900)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 4, 900, false));
    advanceMillis(50);
    fleet.network.setPath("second", fleet.workers.getFirst(), FakeNetwork.Path.CUT);
    first.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard =
        takeOverWithoutWaiting(second, Optional.of(storedLease()), second.directory.entries());
    advanceMillis(9000);
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().state("job-1", answers::add);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /**
   * Guards against two runs of a task of a durable job: the next owner does not extend the lease of
   * a worker that also has a run of a job that it does not know, but the former owner has.
   */
  @Test
  void durableTaskBesideARunOfAnUnknownJobIsNotRestartedBeforeItsLeaseExpires() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(20)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("unknown", 1, 20_000, true));
    first.submit(FakeFleet.job("durable", 1, 20_000, false));
    advanceMillis(50);
    assertThat(fleet.workers.getFirst().runningTasks()).isEqualTo(2);
    OwnedShard shard = takeOverFrom(first);
    long takenOverNanos = fleet.timer.nanoTime();
    fleet.network.setPath("second", fleet.workers.getFirst(), FakeNetwork.Path.CUT);
    advanceMillis(300);
    assertThat(shard.ready()).isTrue();
    assertThat(fleet.observer.violations()).isEmpty();

    assertThat(millisUntilStarts(3, takenOverNanos)).isLessThan(LEASE_AND_LESS_THAN_A_SECOND);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** Guards against a takeover that delays new jobs, or the restart of the tasks of a crash. */
  @Test
  void ordinaryTakeoverDelaysLostTasksByOneLeaseAndAcknowledgementsNotAtAll() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(20)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("durable", 4, 20_000, false));
    advanceMillis(50);
    OwnedShard shard = takeOverFrom(first);
    long takenOverNanos = fleet.timer.nanoTime();
    FakeWorker crashed = fleet.workers.getFirst();
    crashed.setRestartTime(Duration.ofSeconds(60));
    crashed.crash();
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(FakeFleet.job("next", 1, 100, false), answers::add);
    advanceMillis(50);
    assertThat(answers).containsExactly(new JobAnswer.Accepted());

    // Four tasks of the first job, the one of the second job, and the two that were lost.
    assertThat(millisUntilStarts(7, takenOverNanos)).isLessThan(LEASE_AND_LESS_THAN_A_SECOND);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /**
   * Guards against a job that waits for ever for a run that has ended: its worker listed the run to
   * the next owner and crashed before the job was submitted again.
   */
  @Test
  void resubmittedJobDoesNotClaimARunThatWasLost() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(900)));
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", 1, 900, true));
    advanceMillis(50);
    OwnedShard shard = takeOverFrom(first);
    fleet.workers.getFirst().restart();
    fleet.list(fleet.workers.getFirst());
    advanceMillis(100);
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(FakeFleet.job("job-1", 1, 900, true).asRepeated(), answers::add);
    advanceMillis(6000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(2);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /**
   * Guards against a job that is refused as not run although a run of it was lost with its worker:
   * its client left, and submits the job again while the queue is long.
   */
  @Test
  void jobWithALostRunIsNotRefusedAsNotRun() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(20)));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(1000);
    Submission submission = FakeFleet.job("job-1", 1, 20_000, true);
    owner.submit(submission);
    advanceMillis(50);
    fleet.workers.getFirst().crash();
    advanceMillis(2000);
    owner.shard().jobs().abandon(submission);
    for (int job = 0; job < 20; job++) {
      owner.submit(FakeFleet.job("queued-" + job, 2, 20_000, false));
      advanceMillis(20);
    }
    List<JobAnswer> others = owner.submit(FakeFleet.job("job-2", 1, 20_000, true));
    List<JobAnswer> answers = owner.submit(submission);
    advanceMillis(50);

    assertThat(others).hasSize(1).allMatch(answer -> answer instanceof JobAnswer.Refused);
    assertThat(answers).isEmpty();
  }

  /** Kills an owner; the next one takes over at once and has a first report of each worker. */
  private OwnedShard takeOverFrom(OwnerVm owner) {
    owner.kill(fleet.network);
    FakeFleet.Vm second = fleet.vm("second");
    OwnedShard shard =
        takeOverWithoutWaiting(second, Optional.of(storedLease()), second.directory.entries());
    advanceMillis(20);
    return shard;
  }

  private long millisUntilStarts(int starts, long sinceNanos) {
    for (int step = 0; step < 1000 && fleet.observer.starts().size() < starts; step++) {
      advanceMillis(5);
    }
    assertThat(fleet.observer.starts()).hasSize(starts);
    return Duration.ofNanos(fleet.timer.nanoTime() - sinceNanos).toMillis();
  }

  private OwnedShard takeOverWithoutWaiting(
      FakeFleet.Vm vm, Optional<LeaseRecord> lastKnown, Collection<WorkerEntry> known) {
    return Takeovers.withoutWaiting(fleet, vm, lastKnown, known);
  }

  private LeaseRecord storedLease() {
    return Takeovers.storedLease(fleet);
  }
}
