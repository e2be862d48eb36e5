package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.FakeNetwork;
import org.lovagerack.fleet.support.FakeWorker;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.fleet.worker.StartRequest;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerReport;

/**
 * Workers stop answering an owner that has not extended their lease, although another owner has.
 * Guards against runs that the owner takes for lapsed while the worker still executes them.
 */
final class InheritedLeaseTest {

  private static final long FORMER_TOKEN = 1000;
  private static final long OWN_TOKEN = 2000;
  private static final long ISLAND_TOKEN = 2500;
  private static final long RAISED_TOKEN = 3000;
  private static final TaskRun RUN = new TaskRun(new TaskId("job-1", 0, 0), 1);

  /** The lease of a worker and the time in which an owner notices its end. */
  private static final Duration LEASE_AND_NOTICE = Duration.ofMillis(1500);

  private final FakeFleet fleet = new FakeFleet(1, Duration.ofSeconds(20));
  private final FakeWorker worker = fleet.workers.getFirst();
  private final List<TaskRun> lost = new ArrayList<>();
  private final List<Integer> runningWhenLost = new ArrayList<>();
  private long token = OWN_TOKEN;

  private void advanceMillis(long millis) {
    fleet.timer.advance(Duration.ofMillis(millis));
  }

  private WorkerSession openSession() {
    WorkerSession session =
        new WorkerSession(
            fleet.timer,
            fleet.network.callsOf("owner"),
            new FleetBounds(Duration.ofSeconds(1), Duration.ofSeconds(120)),
            () -> token,
            new ResponseTimes(),
            new Suitability(Evacuations.none()),
            worker.entry(),
            new ActiveTasks(),
            new Recorder());
    session.open();
    return session;
  }

  /** Starts a run with the longest lease that the worker grants. */
  private void startAsOther(long otherToken, TaskRun run) {
    WorkerCalls calls = fleet.network.callsOf("other");
    calls.start(
        worker.entry(),
        new StartRequest(run, "work", Long.MAX_VALUE, otherToken),
        Duration.ofSeconds(1),
        outcome -> {});
    advanceMillis(1);
  }

  private void cutOff() {
    fleet.network.setPath("owner", worker, FakeNetwork.Path.CUT);
  }

  private void assertLostOnlyWhenEnded(WorkerSession session) {
    advanceMillis(LEASE_AND_NOTICE.toMillis());

    assertThat(lost).containsExactly(RUN);
    assertThat(runningWhenLost).containsExactly(0);
    assertThat(session.runs()).isEmpty();
  }

  @Test
  void runOfAFormerOwnerIsNotLostBeforeTheLeaseThatItExtended() {
    startAsOther(FORMER_TOKEN, RUN);
    WorkerSession session = openSession();
    advanceMillis(10);
    cutOff();

    assertLostOnlyWhenEnded(session);
  }

  /** The worker answers under the raised token, and is cut off just after it. */
  @Test
  void runOfAnIslandIsNotLostBeforeTheLeaseThatItExtended() {
    WorkerSession session = openSession();
    advanceMillis(3000);
    startAsOther(ISLAND_TOKEN, RUN);
    session.requestReport();
    advanceMillis(200);
    assertThat(token).isEqualTo(RAISED_TOKEN);
    assertThat(session.runs()).containsExactly(RUN);
    cutOff();

    assertLostOnlyWhenEnded(session);
  }

  /** A worker process that has restarted accepts requests under any token. */
  @Test
  void runOfAFormerOwnerOnARestartedWorkerIsNotLostBeforeItsLease() {
    WorkerSession session = openSession();
    advanceMillis(3000);
    worker.restart();
    startAsOther(FORMER_TOKEN, RUN);
    session.requestReport();
    advanceMillis(20);
    assertThat(session.runs()).containsExactly(RUN);
    cutOff();

    assertLostOnlyWhenEnded(session);
  }

  /** Results that have not been read count until the lease has expired. */
  @Test
  void unreadResultsCountUntilTheLeaseOfAFormerOwnerHasExpired() {
    int results = WorkerReport.MAX_RESULTS + 1;
    worker.setRoom(results + 1, true);
    worker.setTaskTime(Duration.ofMillis(1));
    for (int task = 0; task < results; task++) {
      startAsOther(FORMER_TOKEN, new TaskRun(new TaskId("job-2", 0, task), 1));
    }
    advanceMillis(50);
    worker.setTaskTime(Duration.ofSeconds(20));
    startAsOther(FORMER_TOKEN, RUN);
    WorkerSession session = openSession();
    advanceMillis(3);
    cutOff();
    advanceMillis(700);
    assertThat(worker.runningTasks()).isOne();
    assertThat(session.suspect()).isTrue();

    assertThat(session.mayHoldUnreadResults()).isTrue();
    assertLostOnlyWhenEnded(session);
    assertThat(session.mayHoldUnreadResults()).isFalse();
  }

  private final class Recorder extends IdleRunListener {
    @Override
    public RunListener.InheritedRunDecision inheritedRunReported(
        WorkerSession session, TaskRun run) {
      return new RunListener.InheritedRunDecision(true, Resources.NONE, false);
    }

    @Override
    public void lost(WorkerSession session, TaskRun run, RunLoss loss, String reason) {
      lost.add(run);
      runningWhenLost.add(worker.runningTasks());
    }

    @Override
    public void fenced(WorkerSession session, long usedToken) {
      token = RAISED_TOKEN;
    }
  }
}
