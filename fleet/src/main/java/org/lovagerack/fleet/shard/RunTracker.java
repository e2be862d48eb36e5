package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.TaskRunResult;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/** Tracks the runs of a shard's tasks and decides how a task continues when its run has ended. */
final class RunTracker implements RunListener {

  private static final EventLog LOG = new EventLog(RunTracker.class);

  private final TimerService timer;
  private final DecisionLog log;
  private final JobRegistry registry;
  private final JobFinalizer finalizer;
  private final RecoveryGate gate;
  private InheritedRuns inheritedRuns = new InheritedRuns();
  private final Predicate<Job> mayHaveUnreportedRuns;
  private final WorkerSpeeds speeds;
  private final ColdStart coldStart;
  private final WorkerReliability reliability;
  private final LossTracker losses;
  private final Placer placer;
  private final JobCounters counters;
  private final LongSupplier token;
  private final Runnable workerReported;
  private final StallDetector stallDetector = new StallDetector();

  /**
   * Creates a tracker.
   *
   * @param mayHaveUnreportedRuns returns whether a former owner's runs of a job may be active but
   *     not reported yet
   * @param token returns the current fencing token
   * @param workerReported called when a worker has reported for the first time, and when all that
   *     it held has been read
   */
  RunTracker(
      TimerService timer,
      DecisionLog log,
      JobRegistry registry,
      JobFinalizer finalizer,
      RecoveryGate gate,
      Predicate<Job> mayHaveUnreportedRuns,
      WorkerSpeeds speeds,
      ColdStart coldStart,
      WorkerReliability reliability,
      LossTracker losses,
      Placer placer,
      JobCounters counters,
      LongSupplier token,
      Runnable workerReported) {
    this.timer = timer;
    this.log = log;
    this.registry = registry;
    this.finalizer = finalizer;
    this.gate = gate;
    this.mayHaveUnreportedRuns = mayHaveUnreportedRuns;
    this.speeds = speeds;
    this.coldStart = coldStart;
    this.reliability = reliability;
    this.losses = losses;
    this.placer = placer;
    this.counters = counters;
    this.token = token;
    this.workerReported = workerReported;
  }

  @Override
  public void joined(WorkerSession session) {
    LOG.write(
        LogEvent.WORKER_JOINED,
        "worker",
        session.id(),
        "token",
        token.getAsLong(),
        "entry",
        session.entry());
    workerReported.run();
  }

  @Override
  public void reportedAll(WorkerSession session) {
    workerReported.run();
  }

  @Override
  public void resultsWithheld(WorkerSession session) {
    finalizer.storeResults();
  }

  @Override
  public RunListener.InheritedRunDecision inheritedRunReported(WorkerSession session, TaskRun run) {
    Optional<Task> task = registry.find(run.task());
    task.ifPresent(known -> known.job().skipRunNumber(run.run()));
    boolean adopt = task.filter(this::mayHaveUnreportedRun).isPresent();
    boolean continues = adopt || (task.isEmpty() && inheritedRuns.addRunning(session, run));
    LOG.write(
        LogEvent.RUN_FOUND,
        "task",
        run,
        "worker",
        session.id(),
        "token",
        token.getAsLong(),
        "adopted",
        adopt,
        "kept",
        continues);
    if (adopt) {
      task.get().assign(run, session);
      task.get().job().markStarted();
    }
    return new RunListener.InheritedRunDecision(
        continues,
        task.map(known -> known.step().request()).orElse(Resources.NONE),
        task.filter(known -> !known.job().bestEffort()).isPresent());
  }

  /** Assigns the runs that a former owner started to the resubmitted job. */
  void claimInheritedRuns(Job job) {
    for (Task task : job.tasks()) {
      if (inheritedRuns.claimDone(task.id())) {
        job.markStarted();
        job.markTaskDone(task);
      } else if (task.phase() == Task.Phase.WAITING) {
        inheritedRuns
            .claim(task.id())
            .ifPresent(
                inherited -> {
                  job.markStarted();
                  job.skipRunNumber(inherited.run().run());
                  task.assign(inherited.run(), inherited.worker());
                  inherited.worker().adopt(inherited.run(), task.step().request());
                });
      }
    }
  }

  /** Stops unclaimed runs and accepts runs that are reported from now on. */
  void resetInheritedRuns() {
    stopUnclaimedRuns();
    inheritedRuns = new InheritedRuns();
  }

  /** Stops the inherited runs whose jobs were not resubmitted. */
  void stopUnclaimedRuns() {
    for (InheritedRuns.InheritedRun inherited : inheritedRuns.expire()) {
      inherited.worker().stop(inherited.run());
    }
  }

  /** Returns whether a former owner may have started the task and this owner has not. */
  private boolean mayHaveUnreportedRun(Task task) {
    boolean jobMayHaveUnreportedRuns =
        task.job().recovered() ? !gate.isOpen() : mayHaveUnreportedRuns.test(task.job());
    return jobMayHaveUnreportedRuns
        && task.job().phase() == Job.Phase.ACTIVE
        && !task.job().transferred()
        && task.phase() == Task.Phase.WAITING;
  }

  @Override
  public void started(WorkerSession session, TaskRun run) {
    counters.taskStarted();
    if (coldStart.isCold(session.id())) {
      counters.coldTaskStarted();
    }
    LOG.write(
        LogEvent.TASK_STARTED, "task", run, "worker", session.id(), "token", token.getAsLong());
    registry
        .find(run.task().jobId())
        .ifPresent(
            job -> {
              if (!job.started()) {
                counters.startDelay(Duration.ofNanos(timer.nanoTime() - job.acceptedNanos()));
              }
              job.markStarted();
            });
  }

  @Override
  public void ended(
      WorkerSession session,
      TaskRunResult result,
      UnacknowledgedResult unacknowledged,
      Duration ranFor) {
    LOG.write(
        LogEvent.TASK_ENDED,
        "task",
        result.run(),
        "worker",
        session.id(),
        "kind",
        result.kind(),
        "ranFor",
        ranFor);
    Optional<Task> found = registry.find(result.run().task());
    if (found.isEmpty()) {
      inheritedRuns.recordEnd(result.run(), result.kind() == TaskRunResult.Kind.DONE);
      // An island has not read the durable jobs, so the shard's owner may still need this result.
      if (log.coversWholeShard()) {
        unacknowledged.acknowledge();
      }
      return;
    }
    Task task = found.get();
    Job job = task.job();
    job.skipRunNumber(result.run().run());
    if (job.transferred() && !job.bestEffort()) {
      // The host runs the task. Unless its end is known and thus stored, the result is acknowledged
      // when the job has ended.
      if (task.phase() == Task.Phase.DONE) {
        unacknowledged.acknowledge();
      } else {
        job.unacknowledgedResults().add(unacknowledged);
      }
      return;
    }
    finalizer.addResult(job, unacknowledged);
    if (task.isCurrent(result.run()) || mayHaveUnreportedRun(task)) {
      job.markStarted();
      apply(task, session, result, ranFor);
    } else if (result.kind() == TaskRunResult.Kind.DONE && task.phase() != Task.Phase.DONE) {
      // The run seemed lost. A run that was started in its place is needless.
      if (task.phase() == Task.Phase.ASSIGNED) {
        task.worker().stop(task.run());
      }
      job.markTaskDone(task);
      continueJob(task);
    }
  }

  private void apply(Task task, WorkerSession session, TaskRunResult result, Duration ranFor) {
    switch (result.kind()) {
      case DONE -> {
        recordDuration(session.id(), task.step().estimatedDuration(), ranFor);
        reliability.succeeded(session.id());
        task.job().markTaskDone(task);
      }
      case FAILED -> {
        reliability.failed(session.id(), task.failedOn());
        task.failedOn().add(session.id());
        task.failedRuns().add(result.run().run());
        task.requeue();
      }
      case STOPPED, LAPSED, ABANDONED -> task.requeue();
    }
    continueJob(task);
  }

  /**
   * Records the duration of a successful run for the speed of its warm worker, or as a cold run.
   */
  private void recordDuration(WorkerId worker, Duration estimated, Duration ranFor) {
    if (coldStart.wasCold(worker, ranFor)) {
      Duration warm = Duration.ofNanos((long) (estimated.toNanos() / speeds.speed(worker)));
      coldStart.succeeded(worker, warm, ranFor);
    } else {
      speeds.succeeded(worker, estimated, ranFor);
    }
  }

  private void continueJob(Task task) {
    Job job = task.job();
    if (job.phase() != Job.Phase.ACTIVE) {
      return;
    }
    if (task.failedRuns().size() >= job.queue().attempts()) {
      finalizer.end(job, JobState.FAILED);
    } else if (!losses.endIfNotRepeated(task) && gate.admits(job) && !endIfDone(job)) {
      registry.queue().add(job);
      placer.request();
    }
  }

  /** Ends the job if all its tasks are done; returns whether it did. */
  boolean endIfDone(Job job) {
    boolean done = job.phase() == Job.Phase.ACTIVE && job.allDone();
    if (done) {
      finalizer.end(job, JobState.COMPLETED);
    }
    return done;
  }

  @Override
  public void lost(WorkerSession session, TaskRun run, RunLoss loss, String reason) {
    Optional<Task> current = registry.find(run.task()).filter(task -> task.isCurrent(run));
    inheritedRuns.recordLoss(run);
    current.ifPresent(task -> losses.record(task, session, loss));
    LOG.write(
        LogEvent.RUN_LOST,
        "task",
        run,
        "worker",
        session.id(),
        "loss",
        loss,
        "lostRuns",
        current.map(task -> task.losses().runs().size()).orElse(0),
        "reason",
        reason);
    current.ifPresent(
        task -> {
          task.requeue();
          continueJob(task);
        });
  }

  @Override
  public void progressReported(
      WorkerSession session, TaskRun run, int percent, Duration unchangedFor) {
    Optional<Task> task = registry.find(run.task()).filter(known -> known.isCurrent(run));
    if (task.isEmpty()
        || !stallDetector.isStalled(
            percent,
            unchangedFor,
            coldStart.toleratedDuration(
                session.id(), task.get().step().estimatedDuration(), unchangedFor))
        || task.get().stalled()) {
      return;
    }
    LOG.write(
        LogEvent.RUN_STALLED,
        "task",
        run,
        "worker",
        session.id(),
        "percent",
        percent,
        "unchangedFor",
        unchangedFor);
    reliability.failed(session.id(), task.get().failedOn());
    task.get().failedOn().add(session.id());
    task.get().markStalled();
    session.stop(run);
  }

  @Override
  public void fenced(WorkerSession session, long usedToken) {
    log.fenced(usedToken);
  }

  @Override
  public void resourcesFreed(WorkerSession session) {
    placer.request();
  }

  @Override
  public boolean mayExtendDurableRuns() {
    return log.leaseValid();
  }
}
