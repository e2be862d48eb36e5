package org.lovagerack.fleet.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.LostRun;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Records the runs that ended because their worker stopped answering, finds out what became of
 * these workers, and ends the jobs of tasks that are not to be repeated. A crashed worker returns
 * as another process, often under another identity; a worker that was cut off answers again.
 */
final class LossTracker {

  private static final EventLog LOG = new EventLog(LossTracker.class);

  private final TimerService timer;
  private final JobRegistry registry;
  private final JobFinalizer finalizer;
  private final JobCounters counters;

  /** Tasks of jobs that have not ended and have lost runs. */
  private final Set<Task> affected = new LinkedHashSet<>();

  private WorkerSessions sessions;

  LossTracker(
      TimerService timer, JobRegistry registry, JobFinalizer finalizer, JobCounters counters) {
    this.timer = timer;
    this.registry = registry;
    this.finalizer = finalizer;
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
      case UNCONFIRMED -> add(task, session, false, false);
      case UNRESPONSIVE -> add(task, session, true, false);
      case PROCESS_ENDED -> add(task, session, true, true);
    }
  }

  private void add(Task task, WorkerSession session, boolean confirmed, boolean crashed) {
    // A worker that drains ends its runs when it shuts down.
    if (session.entry().draining()) {
      return;
    }
    counters.runLost();
    if (crashed) {
      counters.runCrashed();
    }
    LostRun lost =
        new LostRun(
            session.id().value(),
            session.entry().address(),
            session.incarnation(),
            confirmed,
            crashed);
    task.losses().add(lost, timer.nanoTime());
    affected.add(task);
    finalizer.storeLosses(task.job());
  }

  /** Takes over the losses of a job from the progress that was stored before. */
  void watch(Job job) {
    job.tasks().stream().filter(task -> !task.losses().isEmpty()).forEach(affected::add);
  }

  /** Decides how a task that is not running continues. */
  RestartPolicy.Decision decide(Task task) {
    boolean useful = !task.job().bestEffort() || !task.job().tooLateToStart(timer.nanoTime());
    return RestartPolicy.decide(task.losses(), useful, timer.nanoTime());
  }

  /** Returns whether the losses of a task allow it to start now. */
  boolean mayStart(Task task) {
    RestartPolicy.Decision decision = decide(task);
    return decision == RestartPolicy.Decision.START
        || decision == RestartPolicy.Decision.START_ALONE;
  }

  /** Returns whether every task of a queued job that could start is held back. */
  boolean isHeldBack(Job job) {
    return job.readyTasks().allMatch(task -> decide(task) == RestartPolicy.Decision.WAIT);
  }

  /** Ends the job of a task that is not to be repeated; returns whether it did. */
  boolean endIfNotRepeated(Task task) {
    if (task.phase() != Task.Phase.WAITING
        || task.job().phase() != Job.Phase.ACTIVE
        || task.job().transferred()) {
      return false;
    }
    RestartPolicy.Decision decision = decide(task);
    switch (decision) {
      case START, START_ALONE, WAIT -> {
        return false;
      }
      case ABANDON -> {
        logNotRepeated(task, decision);
        finalizer.abandon(task.job());
      }
      case GIVE_UP -> {
        logNotRepeated(task, decision);
        finalizer.end(task.job(), JobState.FAILED);
      }
    }
    return true;
  }

  private void logNotRepeated(Task task, RestartPolicy.Decision decision) {
    counters.taskNotRepeated();
    LOG.write(
        LogEvent.TASK_NOT_REPEATED,
        "task",
        task.id(),
        "decision",
        decision,
        "crashes",
        task.losses().crashes(),
        "lostRuns",
        task.losses().runs());
  }

  /** Finds out what became of the workers of lost runs, and gives up tasks accordingly. */
  void check() {
    affected.removeIf(task -> registry.find(task.id()).filter(task::equals).isEmpty());
    for (Task task : List.copyOf(affected)) {
      if (task.losses().unexplained()) {
        explain(task);
      }
      endIfNotRepeated(task);
    }
  }

  private void explain(Task task) {
    int crashesBefore = task.losses().possibleCrashes();
    int lossesBefore = task.losses().runs().size();
    task.losses().explain(sessions::fate);
    int crashes = task.losses().possibleCrashes() - crashesBefore;
    if (crashes == 0 && task.losses().runs().size() == lossesBefore) {
      return;
    }
    for (int crash = 0; crash < crashes; crash++) {
      counters.runCrashed();
    }
    LOG.write(
        LogEvent.LOSS_EXPLAINED,
        "task",
        task.id(),
        "crashes",
        crashes,
        "running",
        lossesBefore - task.losses().runs().size(),
        "lostRuns",
        task.losses().runs());
    finalizer.storeLosses(task.job());
  }
}
