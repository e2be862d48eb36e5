package org.lovagerack.fleet.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lovagerack.fleet.job.LostRun;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Records the runs that ended because their worker stopped answering, and finds out what became of
 * these workers. A crashed worker returns as another process, often under another identity; a
 * worker that was cut off answers again.
 */
final class LossTracker {

  private static final EventLog LOG = new EventLog(LossTracker.class);

  private final JobRegistry registry;
  private final JobCounters counters;
  private final Set<Task> unexplained = new LinkedHashSet<>();
  private WorkerSessions sessions;

  LossTracker(JobRegistry registry, JobCounters counters) {
    this.registry = registry;
    this.counters = counters;
  }

  void use(WorkerSessions workerSessions) {
    sessions = workerSessions;
  }

  /** Records the loss of a task's current run. */
  void record(Task task, WorkerSession session, RunLoss loss) {
    switch (loss) {
      case NOT_EXECUTED -> {
        // The worker is not affected.
      }
      case UNCONFIRMED -> add(task, session, LostRun.Cause.UNCONFIRMED);
      case UNRESPONSIVE -> add(task, session, LostRun.Cause.UNRESPONSIVE);
      case PROCESS_ENDED -> add(task, session, LostRun.Cause.CRASH);
    }
  }

  private void add(Task task, WorkerSession session, LostRun.Cause cause) {
    // A worker that drains ends its runs when it shuts down.
    if (session.entry().draining()) {
      return;
    }
    counters.runLost();
    if (cause == LostRun.Cause.CRASH) {
      counters.runCrashed();
    }
    task.lostRuns()
        .add(
            new LostRun(
                session.id().value(), session.entry().address(), session.incarnation(), cause));
    unexplained.add(task);
  }

  /** Finds out what became of the workers of the lost runs. */
  void explain() {
    unexplained.removeIf(task -> registry.find(task.id()).isEmpty());
    for (Task task : List.copyOf(unexplained)) {
      for (LostRun lost : List.copyOf(task.lostRuns())) {
        if (lost.cause() == LostRun.Cause.UNRESPONSIVE) {
          explain(task, lost, sessions.fate(lost));
        }
      }
    }
  }

  private void explain(Task task, LostRun lost, WorkerFate fate) {
    switch (fate) {
      case UNKNOWN -> {
        return;
      }
      case RUNNING -> task.lostRuns().remove(lost);
      case ENDED -> {
        task.lostRuns().set(task.lostRuns().indexOf(lost), lost.asCrash());
        counters.runCrashed();
      }
    }
    LOG.write(
        LogEvent.LOSS_EXPLAINED,
        "task",
        task.id(),
        "worker",
        lost.worker(),
        "address",
        lost.address(),
        "fate",
        fate,
        "lostRuns",
        task.lostRuns().size());
  }
}
