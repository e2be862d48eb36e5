package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;
import org.lovagerack.foundation.error.ErrorKind;

/** Runs jobs under one owner and checks the answers to callers and the runs on workers. */
final class ShardControllerTest {

  private static final Duration TASK_TIME = Duration.ofMillis(100);

  private final FakeFleet fleet = new FakeFleet(4, TASK_TIME);

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  @Test
  void durableJobIsAcceptedWhenStoredAndRunsEachTaskOnce() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 5, 100, false));
    advanceMillis(30);
    assertThat(answers).containsExactly(new JobAnswer.Accepted());
    advanceMillis(400);

    assertThat(owner.state("job-1")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(5);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void bestEffortJobIsAnsweredAtItsEndWithoutTheStore() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.vm().storeConnection.setFault(FakeStore.Fault.REFUSED);
    advanceMillis(3000);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 3, 100, true));
    advanceMillis(50);
    assertThat(answers).isEmpty();
    advanceMillis(200);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  @Test
  void durableJobIsRefusedAtOnceWhileTheStoreIsUnavailable() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.vm().storeConnection.setFault(FakeStore.Fault.REFUSED);
    advanceMillis(1000);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 3, 100, false));
    owner.vm().storeConnection.setFault(FakeStore.Fault.NONE);
    advanceMillis(2000);

    assertThat(answers)
        .containsExactly(
            new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, Duration.ofSeconds(1)));
    assertThat(fleet.observer.starts()).isEmpty();
  }

  @Test
  void jobSubmittedDuringRecoveryIsServed() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    assertThat(owner.shard().ready()).isFalse();

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 3, 100, true));
    advanceMillis(300);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(3);
  }

  @Test
  void jobSubmittedBeforeTheWorkersHaveReportedIsServed() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    while (!owner.shard().ready()) {
      fleet.timer.advance(Duration.ofNanos(100_000));
    }

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 3, 100, true));
    advanceMillis(300);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  /** The job's objective is 220 ms; with 100 ms of work, a start within 560 ms is still useful. */
  @Test
  void jobIsRefusedWhenRecoveryOutlastsItsUsefulTime() {
    OwnerVm owner = fleet.vm("first").takeOverLease().orElseThrow();
    owner.vm().storeConnection.setFault(FakeStore.Fault.REFUSED);
    owner.start();

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 3, 100, true));
    advanceMillis(550);
    assertThat(answers).isEmpty();
    advanceMillis(20);
    owner.vm().storeConnection.setFault(FakeStore.Fault.NONE);
    advanceMillis(1000);

    assertThat(answers)
        .containsExactly(new JobAnswer.Refused(ErrorKind.NOT_READY, Duration.ofSeconds(1)));
    assertThat(fleet.observer.starts()).isEmpty();
  }

  @Test
  void jobAbandonedDuringRecoveryDoesNotRun() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    Submission submission = FakeFleet.job("job-1", 3, 100, true);

    List<JobAnswer> answers = owner.submit(submission);
    owner.shard().jobs().abandon(submission);
    advanceMillis(1000);

    assertThat(answers).isEmpty();
    assertThat(fleet.observer.starts()).isEmpty();
  }

  @Test
  void failedTaskIsTriedElsewhereAndTheJobFailsAfterItsAttempts() {
    fleet.workers.forEach(worker -> worker.setFailing(true));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 1, 100, true));
    advanceMillis(1000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.starts()).hasSize(FakeFleet.QUEUE.attempts());
    assertThat(
            fleet.observer.starts().stream()
                .map(start -> start.substring(0, start.indexOf(' ')))
                .distinct())
        .hasSize(FakeFleet.QUEUE.attempts());
  }

  /** The other workers are listed but take no tasks. */
  @Test
  void failedTaskIsRepeatedOnTheOnlyWorkerThatTakesTasks() {
    FakeWorker failing = fleet.workers.getFirst();
    failing.setFailing(true);
    fleet.workers.stream().skip(1).forEach(worker -> worker.setDraining(true));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 1, 100, true));
    fleet.timer.after(Duration.ofMillis(5), () -> failing.setFailing(false));
    advanceMillis(400);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  /** All other workers are busy, so the one that fails every run is the only free one. */
  @Test
  void failedTaskWaitsForAnotherWorker() {
    fleet.workers.getFirst().setFailing(true);
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 8, 100, true));
    advanceMillis(400);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(10);
  }

  @Test
  void cancelledJobStopsAndDoesNotStartAgain() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.submit(FakeFleet.job("job-1", 20, 100, false));
    advanceMillis(60);

    List<JobAnswer> answers = new ArrayList<>();
    owner.shard().jobs().cancel("job-1", answers::add);
    advanceMillis(30);
    int started = fleet.observer.starts().size();
    advanceMillis(1000);

    assertThat(answers).containsExactly(new JobAnswer.Cancelled());
    assertThat(owner.state("job-1")).containsExactly(new JobAnswer.State(JobState.CANCELLED));
    assertThat(fleet.observer.starts()).hasSize(started);
    assertThat(fleet.workers.stream().mapToInt(FakeWorker::runningTasks).sum()).isZero();
  }

  @Test
  void unansweredStartIsStoppedBeforeTheTaskStartsElsewhere() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    FakeWorker late = fleet.workers.getFirst();
    fleet.network.setPath("first", late, FakeNetwork.Path.LATE);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 8, 100, true));
    advanceMillis(5000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void startWhoseAnswerIsLostIsNotRepeatedWhileItMayRun() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    fleet.workers.forEach(
        worker -> fleet.network.setPath("first", worker, FakeNetwork.Path.ANSWERS_LOST));
    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 4, 100, true));
    advanceMillis(300);
    fleet.workers.forEach(worker -> fleet.network.setPath("first", worker, FakeNetwork.Path.OPEN));
    advanceMillis(3000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void restartedWorkerLosesItsRunsAndGetsNewOnes() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 8, 100, true));
    advanceMillis(50);
    fleet.workers.getFirst().restart();
    owner.vm().directory.put(fleet.workers.getFirst().entry());
    advanceMillis(2500);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void startReceivedByARestartedWorkerIsNotDuplicated() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 8, 100, true));
    fleet.timer.advance(Duration.ofNanos(500_000));
    fleet.workers.forEach(FakeWorker::restart);
    fleet.workers.forEach(worker -> owner.vm().directory.put(worker.entry()));
    advanceMillis(2500);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void unansweredStartReceivedByARestartedWorkerIsNotDuplicated() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    FakeWorker restarted = fleet.workers.getFirst();
    fleet.network.setPath("first", restarted, FakeNetwork.Path.ANSWERS_LOST);
    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 8, 100, true));
    fleet.timer.advance(Duration.ofNanos(500_000));
    restarted.restart();
    fleet.network.setPath("first", restarted, FakeNetwork.Path.OPEN);
    owner.vm().directory.put(restarted.entry());
    advanceMillis(2500);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** The worker ends the run while it is cut off, and the task has been started elsewhere since. */
  @Test
  void resultOfARunThatSeemedLostIsUsed() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(600)));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.submit(FakeFleet.job("job-1", 1, 600, false));
    advanceMillis(300);
    FakeWorker cutOff =
        fleet.workers.stream()
            .filter(worker -> worker.runningTasks() > 0)
            .findFirst()
            .orElseThrow();
    fleet.network.setPath("first", cutOff, FakeNetwork.Path.RESET);
    advanceMillis(1200);
    assertThat(fleet.observer.starts()).hasSize(2);
    fleet.network.setPath("first", cutOff, FakeNetwork.Path.OPEN);
    advanceMillis(150);

    assertThat(owner.state("job-1")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.workers.stream().mapToInt(FakeWorker::runningTasks).sum()).isZero();
  }

  @Test
  void drainingWorkerGetsNoFurtherTasks() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    FakeWorker draining = fleet.workers.getFirst();
    draining.setDraining(true);
    owner.vm().directory.put(draining.entry());

    owner.submit(FakeFleet.job("job-1", 10, 100, true));
    advanceMillis(1000);

    assertThat(fleet.observer.starts()).hasSize(10).noneMatch(start -> start.startsWith("a0 "));
  }

  @Test
  void bestEffortJobEndsWhenItsEntryVmIsUnreachable() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    EntryVm entry = new EntryVm(new EntryId(77), "10.0.0.7:1", "a");
    owner.vm().entryLiveness.recordContact(entry);
    Submission submission = FakeFleet.job("job-1", 2, 5000, true);
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(5)));
    owner.submit(
        new Submission(
            submission.jobId(),
            submission.queue(),
            submission.spec(),
            submission.clientTimeout(),
            entry.id(),
            false));
    advanceMillis(500);
    assertThat(fleet.workers.stream().mapToInt(FakeWorker::runningTasks).sum()).isEqualTo(2);

    // The client resubmits the job 1.3 s after its connection broke.
    advanceMillis(800);

    assertThat(fleet.workers.stream().mapToInt(FakeWorker::runningTasks).sum()).isZero();
  }

  @Test
  void taskIsNotStartedForAnEntryVmWithoutRecentContact() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(700)));
    EntryVm entry = new EntryVm(new EntryId(77), "10.0.0.7:1", "a");
    owner.vm().entryLiveness.recordContact(entry);
    Submission job = FakeFleet.job("job-1", 16, 700, true);
    owner.submit(
        new Submission(
            job.jobId(), job.queue(), job.spec(), job.clientTimeout(), entry.id(), false));
    advanceMillis(800);

    // Eight tasks run at once. The others would start after 0.7 s, which exceeds the limit for a
    // recent contact.
    assertThat(fleet.observer.starts()).hasSize(8);
  }

  @Test
  void resultsAreAcknowledgedInTime() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.submit(FakeFleet.job("job-1", 6, 100, false));
    owner.submit(FakeFleet.job("job-2", 6, 100, true));
    advanceMillis(4000);

    assertThat(fleet.workers.stream().mapToInt(FakeWorker::unacknowledgedResults).sum()).isZero();
  }

  @Test
  void ownerWithoutAValidLeaseStartsNoDurableTask() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.submit(FakeFleet.job("job-1", 40, 100, false));
    advanceMillis(50);
    owner.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    advanceMillis(1000);
    int started = fleet.observer.starts().size();
    advanceMillis(2000);

    assertThat(fleet.observer.starts()).hasSize(started);
  }

  @Test
  void overloadIsRefusedAtOnceWithARetryTime() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> last = List.of();
    for (int job = 0; job < 200; job++) {
      last = owner.submit(FakeFleet.job("job-" + job, 8, 100, true));
    }

    assertThat(last).hasSize(1);
    assertThat(last.getFirst()).isInstanceOf(JobAnswer.Refused.class);
    JobAnswer.Refused refused = (JobAnswer.Refused) last.getFirst();
    assertThat(refused.kind()).isEqualTo(ErrorKind.OVERLOADED);
    assertThat(refused.retryAfter()).isPositive();
  }

  /**
   * A burst of long jobs fills the queue with five times the work that the workers complete in the
   * useful time of a short job. The short job is placed before them.
   */
  @Test
  void shortJobIsNotRefusedForLongJobsQueuedBehindIt() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    for (int job = 0; job < 12; job++) {
      owner.submit(FakeFleet.job("long-" + job, 8, 900, true));
    }

    List<JobAnswer> answers = owner.submit(FakeFleet.job("short", 4, 100, true));
    advanceMillis(400);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  /** Tasks take twenty times as long as their callers estimated, so the queue does not shrink. */
  @Test
  void jobThatCannotStartInUsefulTimeIsRefusedAndNeverRuns() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(2)));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    List<JobAnswer> first = owner.submit(FakeFleet.job("first", 8, 100, true));
    advanceMillis(50);
    List<JobAnswer> second = owner.submit(FakeFleet.job("second", 4, 100, true));
    advanceMillis(550);
    assertThat(second).isEmpty();
    advanceMillis(300);
    assertThat(second)
        .containsExactly(new JobAnswer.Refused(ErrorKind.OVERLOADED, Duration.ofSeconds(1)));
    advanceMillis(3000);

    assertThat(first).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(8).noneMatch(start -> start.contains("second"));
  }

  @Test
  void leaseIsInvalidAfterASuspension() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    // The monotonic clock stops during a suspension; the wall clock does not.
    fleet.shiftWallClock(Duration.ofSeconds(5));
    owner.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);

    List<JobAnswer> answers = owner.submit(FakeFleet.job("job-1", 1, 100, false));

    assertThat(answers).hasSize(1);
    assertThat(answers.getFirst()).isInstanceOf(JobAnswer.Refused.class);
  }
}
