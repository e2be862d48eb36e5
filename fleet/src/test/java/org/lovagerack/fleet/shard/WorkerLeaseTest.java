package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.EntryVm;
import org.lovagerack.fleet.job.JobSpec;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeStore;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.support.LoadPlay;
import org.lovagerack.fleet.support.OwnerVm;

/**
 * Owners are cut off while their workers have runs that another owner may start again. Guards
 * against tasks that run twice because a message to a worker extends the lease of all its runs.
 */
final class WorkerLeaseTest {

  private static final Duration TASK_TIME = Duration.ofMillis(60);

  private static final int PLAYS = 5;

  /** Time before the cut, in which the load is the same. */
  private static final Duration MARGIN = Duration.ofSeconds(4);

  private static final Duration CUT = Duration.ofSeconds(6);

  /** Half of the load of the customers, since half of the room is taken. */
  private static final double RATE_SHARE = 0.5;

  /** Share of callers that may be held without an answer. */
  private static final double MAX_HELD = 0.01;

  /** Five of the six seconds of the cut. */
  private static final double MIN_WORTH = 5.0 / 6;

  private static void advanceMillis(FakeFleet fleet, long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private static Submission job(
      String id, int tasks, long workMillis, boolean bestEffort, EntryId entry) {
    Submission job = FakeFleet.job(id, tasks, workMillis, bestEffort);
    return new Submission(
        id,
        job.queue(),
        new JobSpec(FakeWorker.WORK_PREFIX + workMillis, job.spec().steps(), bestEffort),
        job.clientTimeout(),
        entry,
        false);
  }

  private static Submission job(String id, int tasks, long workMillis, boolean bestEffort) {
    return job(id, tasks, workMillis, bestEffort, new EntryId(1));
  }

  /** Each failure domain has an owner and two workers, and the first one loses the store. */
  @Test
  void shortJobsOfACutOffOwnerDoNotExtendTheRunOfADurableJob() {
    FakeFleet fleet = new FakeFleet(4, TASK_TIME);
    for (FakeWorker worker : fleet.workers) {
      worker.setRoom(4, true);
      boolean near = worker.entry().failureDomain().equals("a");
      fleet.network.setPath(near ? "second" : "first", worker, FakeNetwork.Path.CUT);
    }
    OwnerVm first = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(fleet, 600);
    first.submit(job("durable", 1, 20_000, false));
    advanceMillis(fleet, 100);
    assertThat(fleet.observer.starts()).hasSize(1);
    first.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    int[] submitted = {0};
    fleet.timer.every(
        Duration.ofMillis(50),
        () -> {
          first.submit(job("short-" + submitted[0], 8, 60, true));
          submitted[0]++;
        });
    OwnerVm second = fleet.vm("second").takeOverShard().orElseThrow();
    advanceMillis(fleet, 8000);

    assertThat(second.shard().ready()).isTrue();
    assertThat(fleet.observer.starts().stream().filter(start -> start.contains("durable")))
        .hasSize(2);
    assertThat(fleet.observer.violations()).isEmpty();
  }

  /** The stop does not take effect, as if the worker performed it late. */
  @Test
  void runOfAnUnreachableEntryVmIsNotExtendedForTheRunsBesideIt() {
    FakeFleet fleet = new FakeFleet(1, TASK_TIME);
    FakeWorker worker = fleet.workers.getFirst();
    worker.setStopTime(Duration.ofSeconds(20));
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    advanceMillis(fleet, 50);
    EntryVm entry = new EntryVm(new EntryId(77), "10.0.0.7:1", "a");
    owner.vm().entryLiveness.recordContact(entry);
    owner.submit(job("elsewhere", 1, 20_000, true, entry.id()));
    owner.submit(job("here", 1, 20_000, true));
    advanceMillis(fleet, 50);
    assertThat(worker.runningTasks()).isEqualTo(2);
    advanceMillis(fleet, 2500);

    assertThat(worker.runningTasks()).isEqualTo(1);
  }

  /**
   * Guards against a cut that costs more than the time in which the durable runs lapse: a second of
   * its six. Each worker has one of them and room for a second task.
   */
  @Test
  void cutOffOwnerServesShortJobsOnWorkersWithRunsOfDurableJobs() {
    double worth = 0;
    double held = 0;
    for (long seed = 1; seed <= PLAYS; seed++) {
      FakeFleet fleet = new FakeFleet(32, Duration.ofMillis(100));
      OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
      advanceMillis(fleet, 50);
      for (int worker = 0; worker < fleet.workers.size(); worker++) {
        fleet.workers.get(worker).setLabels(Set.of("label-" + worker));
        fleet.list(fleet.workers.get(worker));
        owner.submit(labelled(job("durable-" + worker, 1, 60_000, false), "label-" + worker));
      }
      advanceMillis(fleet, 100);
      assertThat(fleet.observer.starts()).hasSize(fleet.workers.size());
      LoadPlay play = new LoadPlay(fleet, owner, seed);
      play.schedule(LoadPlay.MIXED_KINDS, RATE_SHARE, MARGIN.plus(CUT));
      fleet.timer.after(
          MARGIN, () -> owner.vm().storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE));
      fleet.timer.advance(MARGIN.plus(CUT).plus(LoadPlay.CALLER_DEADLINE));
      worth += play.worth(MARGIN, MARGIN.plus(CUT)) / PLAYS;
      held += play.share(LoadPlay.Outcome.HELD, MARGIN, MARGIN.plus(CUT)) / PLAYS;
    }

    assertThat(held).isLessThanOrEqualTo(MAX_HELD);
    assertThat(worth).isGreaterThanOrEqualTo(MIN_WORTH);
  }

  private static Submission labelled(Submission job, String label) {
    StepSpec step = job.spec().steps().getFirst();
    return new Submission(
        job.jobId(),
        job.queue(),
        new JobSpec(
            job.spec().specification(),
            List.of(
                new StepSpec(1, step.request(), step.estimatedDuration(), List.of(), label, "", 0)),
            job.spec().bestEffort()),
        job.clientTimeout(),
        job.entry(),
        false);
  }
}
