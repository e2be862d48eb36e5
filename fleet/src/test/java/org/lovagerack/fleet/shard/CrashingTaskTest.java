package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;
import org.lovagerack.foundation.error.ErrorKind;

/** Runs tasks that crash each worker that starts them, beside sound ones. */
final class CrashingTaskTest {

  /** Workers that may crash under a task before it is given up. */
  private static final int MAX_CRASHES = 2;

  /** Longer than the sequence of crashes and restarts that is allowed. */
  private static final long LONG_TIME_MILLIS = 40_000;

  private final FakeFleet fleet = new FakeFleet(8, Duration.ofMillis(100));

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private OwnerVm startOwner(String name) {
    OwnerVm owner = fleet.vm(name).takeOverShard().orElseThrow();
    advanceMillis(50);
    return owner;
  }

  @Test
  void durableTaskThatCrashesItsWorkersIsGivenUpAfterTwoOfThem() {
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 100, false));
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
    assertThat(owner.state("crashing")).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void callerWhoWaitsLongGetsAFailureAfterTwoCrashes() {
    OwnerVm owner = startOwner("first");
    List<JobAnswer> answers = owner.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
  }

  /** The result is of use for 0.66 s, and the loss of the run is certain only after 1.1 s. */
  @Test
  void taskIsNotRepeatedForACallerWhoCannotUseItsResult() {
    OwnerVm owner = startOwner("first");
    List<JobAnswer> answers = owner.submit(FakeFleet.crashingJob("crashing", 1, 100, true));
    advanceMillis(1300);

    assertThat(answers).containsExactly(new JobAnswer.Unresolved(ErrorKind.OUTCOME_UNKNOWN));
    advanceMillis(LONG_TIME_MILLIS);
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(1);
  }

  @Test
  void crashesUnderAFormerOwnerCount() {
    OwnerVm first = startOwner("first");
    first.submit(FakeFleet.crashingJob("crashing", 1, 100, false));
    advanceMillis(1500);
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(2);
    first.kill(fleet.network);

    OwnerVm second = startOwner("second");
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(fleet.observer.crashes("crashing")).isLessThanOrEqualTo(MAX_CRASHES + 1);
    assertThat(second.state("crashing")).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** Each owner ends before it can know of the crash. */
  @Test
  void ownersKilledRightAfterEachCrashDoNotRestartTheTaskForever() {
    OwnerVm owner = startOwner("vm-0");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 100, false));
    for (int vm = 1; vm <= 3; vm++) {
      int before = vm - 1;
      for (int step = 0; step < 1000 && fleet.observer.crashes("crashing") == before; step++) {
        advanceMillis(10);
      }
      owner.kill(fleet.network);
      owner = startOwner("vm-" + vm);
    }
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(owner.state("crashing")).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void resubmittedJobCrashesNoFurtherWorkerAfterItWasGivenUp() {
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(LONG_TIME_MILLIS);

    List<JobAnswer> answers = owner.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
  }

  @Test
  void nextOwnerDoesNotRunAResubmittedJobThatWasGivenUp() {
    OwnerVm first = startOwner("first");
    first.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(LONG_TIME_MILLIS);
    first.kill(fleet.network);
    OwnerVm second = startOwner("second");

    List<JobAnswer> answers = second.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(1000);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
  }

  @Test
  void lossesThatCannotBeStoredCountForThisOwner() {
    OwnerVm owner = startOwner("first");
    List<JobAnswer> answers = owner.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    owner.vm().storeConnection.setFault(FakeStore.Fault.REFUSED);
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.FAILED));
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
  }

  /** Workers that never return leave it open whether they crashed. */
  @Test
  void taskIsNotRestartedAgainAndAgainWhileItsWorkersStayAway() {
    fleet.workers.forEach(worker -> worker.setRestartTime(Duration.ofMinutes(10)));
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 100, false));
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** The first task crashes both its workers; sixteen tasks fill all eight of them. */
  @Test
  void soundTasksBesideACrashingOneComplete() {
    OwnerVm owner = startOwner("first");
    List<JobAnswer> sound = owner.submit(FakeFleet.job("sound", 15, 2000, true));
    owner.submit(FakeFleet.crashingJob("crashing", 1, 2000, true));
    advanceMillis(6000);

    assertThat(sound).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /**
   * Every worker is busy for longer than the objective of the last job, and shorter than its use.
   */
  @Test
  void jobsAreNotRefusedBecauseATaskWaitsForTheCauseOfItsLosses() {
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 20_000, true));
    advanceMillis(2500);
    assertThat(fleet.observer.crashes("crashing")).isEqualTo(2);
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofMillis(450)));
    owner.submit(FakeFleet.job("running", 12, 100, false));
    advanceMillis(30);
    List<JobAnswer> answers = owner.submit(FakeFleet.job("waiting", 4, 100, true));
    advanceMillis(1200);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }

  @Test
  void nothingElseStartsOnTheWorkerOfARepeatedTask() {
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.crashingJob("crashing", 1, 2000, true));
    for (int job = 0; job < 100; job++) {
      owner.submit(FakeFleet.job("sound-" + job, 4, 100, false));
      advanceMillis(30);
    }
    advanceMillis(5000);

    assertThat(fleet.observer.crashes("crashing")).isEqualTo(MAX_CRASHES);
    long lostBesideIt =
        IntStream.range(0, 100).filter(job -> fleet.observer.crashes("sound-" + job) > 0).count();
    assertThat(lostBesideIt).isLessThanOrEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"2,RESET", "3,RESET", "5,RESET", "2,CUT", "3,CUT", "5,CUT"})
  void soundDurableJobIsNotGivenUpAfterItsWorkersWereCutOff(int cuts, FakeNetwork.Path cut) {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(1)));
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.job("sound", 1, 1000, false));
    for (int count = 0; count < cuts; count++) {
      advanceMillis(300);
      fleet.workers.forEach(
          worker ->
              fleet.network.setPath(
                  "first", worker, worker.runningTasks() > 0 ? cut : FakeNetwork.Path.OPEN));
      advanceMillis(1500);
    }
    fleet.workers.forEach(worker -> fleet.network.setPath("first", worker, FakeNetwork.Path.OPEN));
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(owner.state("sound")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void soundDurableJobCompletesAfterACrashThatItDidNotCause() {
    fleet.workers.forEach(worker -> worker.setTaskTime(Duration.ofSeconds(1)));
    OwnerVm owner = startOwner("first");
    owner.submit(FakeFleet.job("sound", 4, 1000, false));
    advanceMillis(300);
    fleet.workers.forEach(FakeWorker::crash);
    advanceMillis(LONG_TIME_MILLIS);

    assertThat(owner.state("sound")).containsExactly(new JobAnswer.State(JobState.COMPLETED));
  }
}
