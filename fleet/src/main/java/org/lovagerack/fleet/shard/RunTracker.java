package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.RunEnd;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/** Follows the runs of a shard's tasks, and decides what becomes of a task when its run is over. */
final class RunTracker implements RunListener {

  private static final EventLog LOG = new EventLog(RunTracker.class);

  private final TimerService timer;
  private final TenureLog log;
  private final JobBook book;
  private final JobEnds ends;
  private final RecoveryGate gate;
  private Orphans orphans = new Orphans();
  private final Predicate<Job> fateUnknown;
  private final WorkerSpeeds speeds;
  private final Placer placer;
  private final TenureCounters counters;
  private final LongSupplier token;
  private final Runnable workerJoined;

  /**
   * Creates a tracker.
   *
   * @param fateUnknown whether an earlier owner's runs of a job may be at work unseen
   * @param token fencing token of the tenure
   * @param workerJoined told when a worker has reported for the first time
   */
  RunTracker(
      TimerService timer,
      TenureLog log,
      JobBook book,
      JobEnds ends,
      RecoveryGate gate,
      Predicate<Job> fateUnknown,
      WorkerSpeeds speeds,
      Placer placer,
      TenureCounters counters,
      LongSupplier token,
      Runnable workerJoined) {
    this.timer = timer;
    this.log = log;
    this.book = book;
    this.ends = ends;
    this.gate = gate;
    this.fateUnknown = fateUnknown;
    this.speeds = speeds;
    this.placer = placer;
    this.counters = counters;
    this.token = token;
    this.workerJoined = workerJoined;
  }

  @Override
  public void joined(WorkerLink link) {
    LOG.write(
        LogEvent.WORKER_JOINED,
        "worker",
        link.id(),
        "token",
        token.getAsLong(),
        "entry",
        link.entry());
    workerJoined.run();
  }

  @Override
  public RunListener.Found found(WorkerLink link, TaskRun run) {
    Optional<Task> task = book.find(run.task());
    task.ifPresent(known -> known.job().skipRunNumber(run.run()));
    boolean adopt = task.filter(this::unknownFate).isPresent();
    boolean keep = adopt || (task.isEmpty() && orphans.takeRunning(link, run));
    LOG.write(
        LogEvent.RUN_FOUND,
        "task",
        run,
        "worker",
        link.id(),
        "token",
        token.getAsLong(),
        "adopted",
        adopt,
        "kept",
        keep);
    if (adopt) {
      task.get().assign(run, link);
      task.get().job().markStarted();
    }
    return new RunListener.Found(keep, adopt ? task.get().step().request() : Resources.NONE);
  }

  /** Continues the runs that an earlier owner started for a job that was submitted again. */
  void claimOrphans(Job job) {
    for (Task task : job.tasks()) {
      if (orphans.claimDone(task.id())) {
        job.markStarted();
        job.taskDone(task);
      } else {
        orphans
            .claim(task.id())
            .ifPresent(
                orphan -> {
                  job.markStarted();
                  job.skipRunNumber(orphan.run().run());
                  task.assign(orphan.run(), orphan.worker());
                  orphan.worker().adopt(orphan.run(), task.step().request());
                });
      }
    }
  }

  /** Expects jobs of runs that are found from now on. */
  void expectOrphans() {
    stopOrphans();
    orphans = new Orphans();
  }

  /** Stops the runs whose jobs were not submitted again. */
  void stopOrphans() {
    for (Orphans.Orphan orphan : orphans.expire()) {
      orphan.worker().stop(orphan.run());
    }
  }

  /** Returns whether an earlier owner may have started the task, and this one has not. */
  private boolean unknownFate(Task task) {
    boolean jobFateUnknown = task.job().recovered() ? !gate.isOpen() : fateUnknown.test(task.job());
    return jobFateUnknown
        && task.job().phase() == Job.Phase.ACTIVE
        && task.phase() == Task.Phase.WAITING;
  }

  @Override
  public void started(WorkerLink link, TaskRun run) {
    counters.taskStarted();
    LOG.write(LogEvent.TASK_STARTED, "task", run, "worker", link.id(), "token", token.getAsLong());
    book.find(run.task().jobId())
        .ifPresent(
            job -> {
              if (!job.started()) {
                counters.startDelay(Duration.ofNanos(timer.nanoTime() - job.acceptedNanos()));
              }
              job.markStarted();
            });
  }

  @Override
  public void ended(WorkerLink link, RunEnd end, EndReceipt receipt, Duration ranFor) {
    LOG.write(
        LogEvent.TASK_ENDED,
        "task",
        end.run(),
        "worker",
        link.id(),
        "kind",
        end.kind(),
        "ranFor",
        ranFor);
    Optional<Task> found = book.find(end.run().task());
    if (found.isEmpty()) {
      orphans.takeEnd(end.run(), end.kind() == RunEnd.Kind.DONE);
      // An island has read no stored jobs: the end may be one that the shard's owner waits for.
      if (log.wholeShard()) {
        receipt.settle();
      }
      return;
    }
    Task task = found.get();
    Job job = task.job();
    job.skipRunNumber(end.run().run());
    ends.receive(job, receipt);
    if (task.isCurrent(end.run()) || unknownFate(task)) {
      job.markStarted();
      apply(task, link, end, ranFor);
    }
  }

  private void apply(Task task, WorkerLink link, RunEnd end, Duration ranFor) {
    switch (end.kind()) {
      case DONE -> {
        speeds.succeeded(link.id(), task.step().estimatedDuration(), ranFor);
        task.job().taskDone(task);
      }
      case FAILED -> {
        speeds.failed(link.id());
        task.failedOn().add(link.id());
        task.failedRuns().add(end.run().run());
        task.waitAgain();
      }
      case STOPPED, LAPSED, ABANDONED -> task.waitAgain();
    }
    goOn(task);
  }

  private void goOn(Task task) {
    Job job = task.job();
    if (job.phase() != Job.Phase.ACTIVE) {
      return;
    }
    if (task.failedRuns().size() >= job.queue().attempts()) {
      ends.end(job, JobState.FAILED);
    } else if (gate.admits(job) && !endIfDone(job)) {
      book.queue().add(job);
      placer.request();
    }
  }

  /** Ends a job whose tasks are all done; returns whether it is one. */
  boolean endIfDone(Job job) {
    boolean done = job.phase() == Job.Phase.ACTIVE && job.allDone();
    if (done) {
      ends.end(job, JobState.COMPLETED);
    }
    return done;
  }

  @Override
  public void lost(WorkerLink link, TaskRun run, String reason) {
    LOG.write(LogEvent.RUN_LOST, "task", run, "worker", link.id(), "reason", reason);
    book.find(run.task())
        .filter(task -> task.isCurrent(run))
        .ifPresent(
            task -> {
              task.waitAgain();
              if (task.job().phase() == Job.Phase.ACTIVE && gate.admits(task.job())) {
                book.queue().add(task.job());
                placer.request();
              }
            });
  }

  @Override
  public void fenced(WorkerLink link, long usedToken) {
    log.fenced(usedToken);
  }

  @Override
  public void roomGained(WorkerLink link) {
    placer.request();
  }

  @Override
  public boolean mayExtend(WorkerLink link) {
    return log.leaseValid() || link.runs().stream().allMatch(this::isBestEffort);
  }

  private boolean isBestEffort(TaskRun run) {
    return book.find(run.task().jobId()).map(Job::bestEffort).orElse(true);
  }
}
