package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobSite;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Accepts, stores or refuses submitted jobs and detects duplicate submissions. */
final class JobIntake {

  /**
   * Time within which an owner that has lost contact with an entry VM ends the jobs of that VM: the
   * contact timeout plus time for a sweep and for stopping the runs.
   */
  static final Duration UNREPORTED_RUN_TIMEOUT = EntryLiveness.CONTACT_TIMEOUT.plusMillis(400);

  /** Answer to a job of which no listed worker can run a step. */
  static final JobAnswer.Refused NO_SUITABLE_WORKER =
      new JobAnswer.Refused(ErrorKind.NO_UPSTREAM, ShardController.RETRY_AFTER_OUTAGE);

  /**
   * Number of the transfer that brought a best-effort job. The end of such a job is not stored, so
   * its transfers need not be told apart.
   */
  private static final int ONLY_TRANSFER = 1;

  private static final EventLog LOG = new EventLog(JobIntake.class);

  private final OwnedShardFactory dependencies;
  private final ShardRows rows;
  private final DecisionLog log;
  private final JobRegistry registry;
  private final JobFinalizer finalizer;
  private final EndedJobs ended;
  private final LossRecords lossRecords;
  private final LossTracker losses;
  private final RunTracker runs;
  private final WorkerSessions sessions;
  private final WorkerSpeeds speeds;
  private final Placer placer;
  private final BooleanSupplier workersReported;
  private final JobTransfer transfers;
  private final Redirections redirections;

  /**
   * Creates an intake.
   *
   * @param workersReported returns whether the workers have had time to report to this owner
   */
  JobIntake(
      OwnedShardFactory dependencies,
      ShardRows rows,
      DecisionLog log,
      JobRegistry registry,
      JobFinalizer finalizer,
      EndedJobs ended,
      LossRecords lossRecords,
      LossTracker losses,
      RunTracker runs,
      WorkerSessions sessions,
      WorkerSpeeds speeds,
      Placer placer,
      BooleanSupplier workersReported,
      JobTransfer transfers,
      Redirections redirections) {
    this.dependencies = dependencies;
    this.rows = rows;
    this.log = log;
    this.registry = registry;
    this.finalizer = finalizer;
    this.ended = ended;
    this.lossRecords = lossRecords;
    this.losses = losses;
    this.runs = runs;
    this.sessions = sessions;
    this.speeds = speeds;
    this.placer = placer;
    this.workersReported = workersReported;
    this.transfers = transfers;
    this.redirections = redirections;
  }

  /**
   * Submits a job as specified by {@link org.lovagerack.fleet.job.JobService#submit}.
   *
   * @param arrivedNanos monotonic time at which the submission arrived, in nanoseconds
   */
  void submit(Submission submission, long arrivedNanos, Consumer<JobAnswer> callback) {
    Job.Waiter waiter = new Job.Waiter(Optional.of(submission.entry()), callback);
    boolean bestEffort = submission.spec().bestEffort();
    Optional<Job> known = registry.find(submission.jobId());
    if (known.isPresent()) {
      if (known.get().phase() == Job.Phase.STORING || bestEffort) {
        known.get().waiters().add(waiter);
      } else {
        callback.accept(new JobAnswer.Accepted());
      }
      return;
    }
    Optional<JobState> end = ended.state(submission.jobId());
    if (end.isPresent()) {
      callback.accept(bestEffort ? new JobAnswer.State(end.get()) : new JobAnswer.Accepted());
      return;
    }
    if (!submission.redirectable()) {
      redirections.returned(submission.jobId());
    }
    Optional<JobAnswer> earlierRedirection = redirections.find(submission.jobId());
    if (earlierRedirection.isPresent()) {
      callback.accept(earlierRedirection.get());
      return;
    }
    Job job = newJob(submission, arrivedNanos);
    if (workersReported.getAsBoolean()) {
      Optional<JobAnswer> redirection = redirections.redirect(submission, job);
      if (redirection.isPresent()) {
        callback.accept(redirection.get());
        return;
      }
    }
    Optional<JobAnswer.Refused> refusal = refusal(job);
    if (refusal.isPresent()) {
      job.waiters().add(waiter);
      finalizer.refuse(job, refusal.get(), "queued core-seconds before it: " + workBefore(job));
      return;
    }
    job.waiters().add(waiter);
    registry.add(job);
    if (bestEffort) {
      losses.watch(job);
      runs.claimInheritedRuns(job);
      accept(job);
      if (!runs.endIfDone(job)) {
        losses.check();
        transfers.check(job);
      }
    } else {
      store(job);
    }
  }

  /** Returns a submitted job with what is known of its earlier runs. */
  private Job newJob(Submission submission, long arrivedNanos) {
    boolean home = dependencies.neighbours().isHome(submission.jobId());
    JobSite site =
        submission
            .carried()
            .<JobSite>map(
                carried ->
                    home
                        ? new JobSite.Home(0, carried.nextRun())
                        : new JobSite.Hosted(ONLY_TRANSFER, carried.nextRun()))
            .orElse(JobSite.ORIGIN);
    Job job =
        new Job(
            new SubmittedJob(
                submission.jobId(), submission.queue(), log.token(), submission.spec(), site),
            arrivedNanos,
            log.token(),
            false,
            submission.repeated());
    if (job.bestEffort()) {
      long now = dependencies.timer().nanoTime();
      lossRecords.find(job.id()).ifPresent(record -> job.restoreLosses(record, now));
      submission.carried().ifPresent(carried -> job.takeOver(carried, now));
    }
    return job;
  }

  /** Refuses a best-effort job that has no run and can no longer be placed in time. */
  void refuseUnstarted(Job job) {
    finalizer.refuse(
        job,
        new JobAnswer.Refused(ErrorKind.OVERLOADED, ShardController.RETRY_AFTER_OUTAGE),
        "no worker had enough free resources for "
            + Duration.ofNanos(dependencies.timer().nanoTime() - job.acceptedNanos()));
  }

  private void store(Job job) {
    log.append(
        new CommitEntry(
            List.of(new RowCondition(rows.ended(job.id()), RowCondition.ABSENT)),
            List.of(new RowWrite(rows.job(job.id()), JobCodec.encode(job.submitted()))),
            List.of(),
            true,
            new StoredListener(job)));
  }

  private void accept(Job job) {
    job.phase(Job.Phase.ACTIVE);
    dependencies.counters().accepted();
    LOG.write(
        LogEvent.JOB_ACCEPTED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "token",
        log.token(),
        "tasks",
        job.tasks().size(),
        "after",
        Duration.ofNanos(dependencies.timer().nanoTime() - job.acceptedNanos()));
    registry.queue().add(job);
    placer.request();
    if (job.repeated()) {
      dependencies.timer().after(UNREPORTED_RUN_TIMEOUT, placer::request);
    }
  }

  private Optional<JobAnswer.Refused> refusal(Job job) {
    if (!job.bestEffort() && !(log.storeAvailable() && log.leaseValid())) {
      return Optional.of(
          new JobAnswer.Refused(
              ErrorKind.PLATFORM_UNAVAILABLE, ShardController.RETRY_AFTER_OUTAGE));
    }
    if (!workersReported.getAsBoolean()) {
      // The capacity is unknown until the workers have reported; few jobs arrive before that.
      return Optional.empty();
    }
    boolean startsHere = transfers.canStartHere(job);
    boolean home = dependencies.neighbours().isHome(job.id());
    if (job.mayHaveRun()) {
      // The work spent on it is lost unless its last tasks run too; its home finds out where.
      return startsHere || home ? Optional.empty() : Optional.of(NO_SUITABLE_WORKER);
    }
    if (!transfers.isPossible(job) || (!startsHere && !home)) {
      return Optional.of(NO_SUITABLE_WORKER);
    }
    if (!startsHere) {
      // The shard that can start it decides.
      return Optional.empty();
    }
    double ownWork = job.tasks().stream().mapToDouble(TaskQueue::estimatedWork).sum();
    double capacity = sessions.capacity(job.queue().service(), speeds);
    double spread = capacity <= 0 ? 0 : ownWork / capacity;
    Duration ownDuration =
        Duration.ofNanos(
            (long) Math.max((double) job.estimatedCriticalPath().toNanos(), spread * 1e9));
    return Admission.decide(workBefore(job), capacity, ownDuration, job.objective())
        .map(
            retryAfter ->
                new JobAnswer.Refused(
                    capacity <= 0 ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED, retryAfter));
  }

  private double workBefore(Job job) {
    return registry.queue().workBefore(job, dependencies.timer().nanoTime());
  }

  private final class StoredListener implements CommitEntry.Listener {
    private final Job job;

    StoredListener(Job job) {
      this.job = job;
    }

    @Override
    public void committed() {
      accept(job);
      JobFinalizer.answer(job, new JobAnswer.Accepted());
      transfers.check(job);
    }

    @Override
    public void conflicted(StoredRow row) {
      registry.remove(job);
      ended.putDurable(job.id(), row);
      JobFinalizer.answer(job, new JobAnswer.Accepted());
    }

    @Override
    public void dropped(String reason) {
      finalizer.refuse(
          job,
          new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, ShardController.RETRY_AFTER_OUTAGE),
          reason);
    }
  }
}
