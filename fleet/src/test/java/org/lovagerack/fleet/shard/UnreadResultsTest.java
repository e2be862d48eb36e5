package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.OwnerVm;
import org.lovagerack.fleet.worker.WorkerReport;

/**
 * Owners end while a worker holds more results than it lists at a time. Guards against tasks that
 * run again because their results stand in a later report than the first one to the next owner.
 */
final class UnreadResultsTest {

  private static final Duration TASK_TIME = Duration.ofMillis(400);

  /** Tasks beyond the room of the worker, which start when the first ones have ended. */
  private static final int LAST_TASKS = 50;

  private final FakeFleet fleet = new FakeFleet(1, TASK_TIME);
  private final FakeWorker worker = fleet.workers.getFirst();

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private void awaitResults(int results) {
    for (int step = 0; step < 1000 && worker.unacknowledgedResults() < results; step++) {
      advanceMillis(1);
    }
    assertThat(worker.unacknowledgedResults()).isEqualTo(results);
  }

  /** Kills an owner whose worker holds unread results of a job that has not ended. */
  private void killOwnerOfUnreadResults(int results) {
    worker.setRoom(results, true);
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    first.submit(FakeFleet.job("job-1", results + LAST_TASKS, TASK_TIME.toMillis(), false));
    awaitResults(results);
    first.kill(fleet.network);
  }

  private OwnedShard nextOwner() {
    FakeFleet.Vm second = fleet.vm("second");
    return Takeovers.withoutWaiting(
        fleet, second, Optional.of(Takeovers.storedLease(fleet)), second.directory.entries());
  }

  private void assertCompletedWithOneRunOfEachTask(OwnedShard shard, int tasks) {
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().state("job-1", answers::add);
    advanceMillis(50);

    assertThat(answers).containsExactly(new JobAnswer.State(JobState.COMPLETED));
    assertThat(fleet.observer.starts()).hasSize(tasks);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  @Test
  void nextOwnerReadsAllResultsBeforeItStartsTasksAgain() {
    int results = WorkerReport.MAX_RESULTS + 100;
    killOwnerOfUnreadResults(results);
    OwnedShard shard = nextOwner();
    advanceMillis(6000);

    assertCompletedWithOneRunOfEachTask(shard, results + LAST_TASKS);
  }

  /** Each report is acknowledged after a transaction, so reading all takes over four seconds. */
  @Test
  void nextOwnerOnASlowStoreReadsAllResultsBeforeItStartsTasksAgain() {
    int results = 6 * WorkerReport.MAX_RESULTS;
    killOwnerOfUnreadResults(results);
    OwnedShard shard = nextOwner();
    fleet.store.setLatency(Duration.ofMillis(700));
    advanceMillis(30_000);

    assertCompletedWithOneRunOfEachTask(shard, results + LAST_TASKS);
  }

  @Test
  void resultsOfAFullReportAreStoredAtOnce() {
    int results = WorkerReport.MAX_RESULTS + 100;
    worker.setRoom(results, true);
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(50);
    owner.submit(FakeFleet.job("job-1", results + LAST_TASKS, TASK_TIME.toMillis(), false));
    awaitResults(results);
    advanceMillis(100);

    assertThat(worker.unacknowledgedResults()).isLessThan(WorkerReport.MAX_RESULTS);
  }
}
