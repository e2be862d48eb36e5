package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.HostRequest;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobHost;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Serves the jobs of a shard for one term: accepts jobs, places their tasks on workers and ends
 * them. It first recovers the jobs that former owners stored. Tasks of recovered jobs start only
 * when every worker that a former owner may have used has reported all its runs and results under
 * the new token, whether or not it is still listed, or every lease extended by a former owner has
 * expired. Before that, a task may still be running under a former owner.
 *
 * <p>Durable jobs start and end only under a valid lease. Best-effort jobs continue while the store
 * is unavailable, as long as the entry VM with the client's connection is reachable.
 */
final class ShardController implements JobService, JobHost {

  /**
   * Time to wait for the jobs of inherited runs. Entry VMs resubmit jobs within about 0.1 s after
   * they have received the new owner.
   */
  private static final Duration INHERITED_RUN_TIMEOUT = Duration.ofMillis(300);

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration GATE_RETRY_DELAY = Duration.ofMillis(100);

  /** A quarter of the contact timeout that the sweep checks. */
  static final Duration SWEEP_PERIOD = EntryLiveness.CONTACT_TIMEOUT.dividedBy(4);

  /**
   * Time after which workers that have not reported do not count towards the capacity. Healthy
   * workers report within milliseconds of a request, and a slow store lists them within 0.5 s.
   */
  private static final Duration WORKER_REPORT_TIMEOUT = Duration.ofMillis(500);

  /**
   * Retry delay reported to callers while the store or the workers are unavailable; outages last
   * seconds.
   */
  static final Duration RETRY_AFTER_OUTAGE = Duration.ofSeconds(1);

  private static final EventLog LOG = new EventLog(ShardController.class);

  private final OwnedShardFactory dependencies;
  private final ShardRows rows;
  private final DecisionLog log;
  private final JobRegistry registry = new JobRegistry();
  private final EndedJobs ended;
  private final LossRecords lossRecords;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final WorkerReliability reliability;
  private final ColdStart coldStart;
  private final RecoveryGate gate = new RecoveryGate();
  private final JobFinalizer finalizer;
  private final LossTracker losses;
  private final Placer placer;
  private final RunTracker runs;
  private final WorkerSessions sessions;
  private final JobTransfer transfers;
  private final HostedJobs hostedJobs;
  private final LoadMeter loadMeter;
  private final Redirections redirections;
  private final JobIntake intake;
  private final EarlySubmissions earlySubmissions;
  private final OverloadDetector overloadDetector = new OverloadDetector();
  private final Runnable evacuationListener = this::evacuationsChanged;
  private boolean recovered;
  private boolean workersReported;
  private boolean formerLeasesExpired;
  private boolean closed;

  /**
   * Creates a controller.
   *
   * @param directory directory of the available workers
   * @param workersListed returns whether the directory has been read since this owner's start
   */
  ShardController(
      OwnedShardFactory dependencies,
      ShardRows rows,
      DecisionLog log,
      WorkerDirectory directory,
      BooleanSupplier workersListed) {
    this.dependencies = dependencies;
    this.rows = rows;
    this.log = log;
    this.ended = new EndedJobs(dependencies.bounds().statusRetention());
    this.lossRecords = new LossRecords(dependencies.bounds().statusRetention());
    this.finalizer =
        new JobFinalizer(
            dependencies.timer(),
            dependencies.wallMillis(),
            log,
            rows,
            registry,
            ended,
            lossRecords,
            dependencies.counters());
    Suitability suitability = new Suitability(dependencies.evacuations());
    this.reliability = new WorkerReliability(dependencies.timer());
    this.coldStart = new ColdStart(dependencies.timer(), SWEEP_PERIOD);
    this.losses =
        new LossTracker(dependencies.timer(), registry, finalizer, dependencies.counters());
    this.placer =
        new Placer(
            dependencies.timer(),
            dependencies.configuration(),
            registry,
            speeds,
            reliability,
            losses,
            suitability,
            coldStart,
            this::mayStart,
            dependencies.lookAheadPlacement()
                ? Optional.of(lookAhead(suitability))
                : Optional.empty());
    this.runs =
        new RunTracker(
            dependencies.timer(),
            log,
            registry,
            finalizer,
            gate,
            this::mayHaveUnreportedRuns,
            speeds,
            coldStart,
            reliability,
            losses,
            placer,
            dependencies.counters(),
            log::token,
            this::openGateIfAllReported);
    this.sessions =
        new WorkerSessions(
            dependencies.timer(),
            dependencies.calls(),
            directory,
            dependencies.mayUse(),
            dependencies.bounds(),
            log::token,
            workersListed,
            suitability,
            coldStart,
            runs,
            placer::request);
    placer.use(sessions);
    losses.use(sessions);
    this.transfers =
        new JobTransfer(
            dependencies,
            log,
            registry,
            finalizer,
            sessions,
            directory,
            suitability,
            losses,
            runs,
            placer,
            this::mayStart,
            () -> workersReported);
    finalizer.setReleaseListener(transfers::release);
    this.hostedJobs =
        new HostedJobs(dependencies, rows, log, registry, ended, finalizer, losses, runs, placer);
    this.loadMeter = new LoadMeter(sessions, registry, placer, coldStart);
    this.redirections =
        new Redirections(
            dependencies.timer(),
            dependencies.neighbours(),
            loadMeter,
            placer,
            dependencies.counters());
    this.intake =
        new JobIntake(
            dependencies,
            rows,
            log,
            registry,
            finalizer,
            ended,
            lossRecords,
            losses,
            runs,
            sessions,
            speeds,
            placer,
            () -> workersReported,
            transfers,
            redirections);
    this.earlySubmissions = new EarlySubmissions(dependencies.timer());
  }

  private LookAhead lookAhead(Suitability suitability) {
    return new LookAhead(
        dependencies.timer(),
        speeds,
        reliability,
        suitability,
        new ExpectedEnds(registry, speeds),
        new Reservations(dependencies.counters()));
  }

  /**
   * Recovers the durable jobs and then opens the sessions with the workers.
   *
   * @param former workers that former owners may have used
   */
  void start(FormerWorkers former) {
    sessions.setFormerWorkers(former);
    dependencies
        .timer()
        .after(
            LeaseLength.MAX_DURATION.plus(dependencies.bounds().workerLeaseExpiryBound()),
            () -> {
              formerLeasesExpired = true;
              openGate("the leases of former owners have expired");
            });
    new ShardRecovery(dependencies.timer(), dependencies.store(), rows, log.token(), () -> closed)
        .read(this::recover);
    dependencies.timer().after(SWEEP_PERIOD, this::sweep);
    finalizer.start();
  }

  /** Starts without a store and therefore without recovery of durable jobs. */
  void startWithoutStore() {
    recover(ShardRecovery.Stored.NOTHING);
    dependencies.timer().after(SWEEP_PERIOD, this::sweep);
    finalizer.start();
  }

  /**
   * Requests reports after the token has been raised, because workers may still run tasks of an
   * island.
   */
  void tokenRaised() {
    runs.resetInheritedRuns();
    dependencies.timer().after(INHERITED_RUN_TIMEOUT, runs::stopUnclaimedRuns);
    sessions.all().forEach(WorkerSession::requestReport);
  }

  /** Stops all activity: stores nothing, sends no requests and answers all waiting callers. */
  void close() {
    closed = true;
    dependencies.evacuations().removeListener(evacuationListener);
    sessions.close();
    log.close();
    earlySubmissions.close();
    for (Job job : registry.all()) {
      JobFinalizer.answer(job, answerAtEndOfTerm(job));
    }
  }

  private JobAnswer answerAtEndOfTerm(Job job) {
    if (!job.bestEffort()) {
      return new JobAnswer.Unresolved(ErrorKind.OWNER_LOST);
    }
    if (job.neverRan()) {
      // The next owner need not wait for unreported runs of a job that never had one.
      return new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO);
    }
    // The next owner finds the active runs at the workers. The home of a hosted job does not.
    return job.hosted() && job.tasks().stream().anyMatch(this::mayBeRunning)
        ? new JobAnswer.Unresolved(ErrorKind.OWNER_LOST)
        : new JobAnswer.HandedBack(job.carriedState(dependencies.wallMillis().getAsLong()));
  }

  private boolean mayBeRunning(Task task) {
    return task.phase() == Task.Phase.ASSIGNED || sessions.mayBeRunning(task.id());
  }

  /** Returns the listed workers of the shard, or the others that may have active runs. */
  Collection<WorkerEntry> workers(boolean listed) {
    return sessions.entries(listed);
  }

  /** Returns whether no worker beside those of the sessions can have active runs of the shard. */
  boolean knowsAllWorkers() {
    return formerLeasesExpired || sessions.knowAllWorkers();
  }

  long workersVersion() {
    return sessions.version() + (knowsAllWorkers() ? 1 : 0);
  }

  boolean ready() {
    return recovered && !closed;
  }

  /** Returns the load of each service; empty until the workers have reported. */
  List<ShardLoad> loads(int shard) {
    return ready() && workersReported
        ? loadMeter.services().stream().map(service -> loadMeter.measure(shard, service)).toList()
        : List.of();
  }

  private void recover(ShardRecovery.Stored stored) {
    dependencies.evacuations().addListener(evacuationListener);
    stored.jobs().forEach(registry::add);
    stored.jobs().forEach(losses::watch);
    stored.lossRecords().forEach(lossRecords::put);
    recovered = true;
    LOG.write(
        LogEvent.SHARD_RECOVERED,
        "partition",
        rows.partition(),
        "token",
        log.token(),
        "jobs",
        stored.jobs().size());
    sessions.open();
    dependencies.timer().after(INHERITED_RUN_TIMEOUT, runs::stopUnclaimedRuns);
    dependencies.timer().after(WORKER_REPORT_TIMEOUT, () -> workersReported = true);
    stored.jobs().stream().filter(Job::transferred).forEach(transfers::resume);
    earlySubmissions.handOver(intake::submit);
    openGateIfAllReported();
  }

  private void openGateIfAllReported() {
    if (!recovered || !sessions.allJoined()) {
      return;
    }
    workersReported = true;
    if (sessions.knowAllWorkers() && sessions.allReported()) {
      openGate("all workers have reported");
    }
  }

  private void openGate(String reason) {
    if (gate.isOpen() || closed) {
      return;
    }
    if (!recovered || sessions.anyUnreadResults()) {
      // Both may take longer than the leases: the recovery, and the results of a worker that lists
      // them in several reports. This owner has extended its lease, so they all count.
      dependencies.timer().after(GATE_RETRY_DELAY, () -> openGate(reason));
      return;
    }
    gate.open();
    List<Job> waiting =
        registry.all().stream()
            .filter(job -> job.recovered() && job.phase() == Job.Phase.ACTIVE && !job.transferred())
            .toList();
    LOG.write(
        LogEvent.SHARD_RESUMED,
        "partition",
        rows.partition(),
        "token",
        log.token(),
        "jobs",
        waiting.size(),
        "reason",
        reason);
    for (Job job : waiting) {
      if (!runs.endIfDone(job)) {
        registry.queue().add(job);
      }
    }
    placer.request();
  }

  private void evacuationsChanged() {
    transfers.check();
    placer.request();
  }

  private boolean mayStart(Job job) {
    if (closed || !gate.admits(job) || !dependencies.evacuations().known()) {
      return false;
    }
    return job.bestEffort()
        ? hasReachableClient(job) && !mayHaveUnreportedRuns(job)
        : log.leaseValid();
  }

  /** Returns whether an entry VM that is waiting for the job has called recently. */
  private boolean hasReachableClient(Job job) {
    return job.waiters().stream()
        .anyMatch(
            waiter ->
                waiter.entry().filter(dependencies.entryLiveness()::contactedRecently).isPresent());
  }

  /** Returns whether a former owner's runs of a job may still be active but not reported yet. */
  private boolean mayHaveUnreportedRuns(Job job) {
    return job.repeated()
        && !(log.coversWholeShard() && sessions.allRunsReported())
        && dependencies.timer().nanoTime() - job.acceptedNanos()
            < JobIntake.UNREPORTED_RUN_TIMEOUT.toNanos();
  }

  /**
   * Ends best-effort jobs whose clients are unreachable and refuses those that can no longer be
   * placed in time.
   */
  private void sweep() {
    if (closed) {
      return;
    }
    // Scheduled first, so that a failure does not end the sweeps.
    dependencies.timer().after(SWEEP_PERIOD, this::sweep);
    long now = dependencies.timer().nanoTime();
    overloadDetector.recordCheck(
        registry.queue().inOrder(now).stream()
            .anyMatch(
                job ->
                    TaskQueue.canMeetObjective(job, now)
                        && mayStart(job)
                        && !losses.isHeldBack(job)));
    for (Job job : registry.all()) {
      if (job.bestEffort()) {
        boolean changed =
            job.waiters()
                .removeIf(
                    waiter ->
                        waiter.entry().filter(dependencies.entryLiveness()::isReachable).isEmpty());
        if (changed && job.waiters().isEmpty()) {
          finalizer.revoke(job, "the entry VM of its client is unreachable");
        } else if (!job.transferred()
            && job.neverRan()
            && overloadDetector.shouldRefuse(
                TaskQueue.canMeetObjective(job, now), !job.tooLateToStart(now))) {
          intake.refuseUnstarted(job);
        }
      }
    }
    openGateIfAllReported();
    losses.check();
    transfers.check();
    coldStart.logWarmWorkers();
    dependencies.entryLiveness().removeUnreachable();
    placer.request();
    sessions.removeUnlisted(
        worker -> {
          speeds.remove(worker);
          coldStart.remove(worker);
          reliability.remove(worker);
        });
  }

  @Override
  public void submit(Submission submission, Consumer<JobAnswer> callback) {
    if (recovered) {
      intake.submit(submission, dependencies.timer().nanoTime(), callback);
    } else {
      earlySubmissions.defer(submission, callback);
    }
  }

  @Override
  public void abandon(Submission submission) {
    earlySubmissions.abandon(submission.jobId(), submission.entry());
    Optional<Job> job = registry.find(submission.jobId()).filter(Job::bestEffort);
    if (job.isEmpty()) {
      return;
    }
    EntryId entry = submission.entry();
    boolean changed =
        job.get().waiters().removeIf(waiter -> waiter.entry().equals(Optional.of(entry)));
    if (!changed || !job.get().waiters().isEmpty()) {
      return;
    }
    if (log.leaseValid()) {
      finalizer.discard(job.get(), "its client has disconnected");
    } else {
      finalizer.revoke(job.get(), "its client has disconnected, or its entry VM has another owner");
    }
  }

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {
    Optional<Job> job = registry.find(jobId);
    Optional<JobState> end = ended.state(jobId);
    Optional<JobAnswer> redirection = redirections.find(jobId);
    if (job.isPresent() && job.get().phase() != Job.Phase.STORING) {
      callback.accept(new JobAnswer.State(job.get().reportedState()));
    } else if (end.isPresent()) {
      callback.accept(new JobAnswer.State(end.get()));
    } else if (job.isEmpty() && redirection.isPresent()) {
      callback.accept(redirection.get());
    } else if (job.isPresent() || !recovered) {
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
    } else if (!log.coversWholeShard()) {
      // The job may be stored, but an island cannot read the store.
      callback.accept(new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_AFTER_OUTAGE));
    } else {
      readEnded(jobId, callback);
    }
  }

  private void readEnded(String jobId, Consumer<JobAnswer> callback) {
    dependencies
        .store()
        .readRow(
            rows.ended(jobId),
            READ_TIMEOUT,
            stored -> {
              if (closed) {
                callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
                return;
              }
              stored.ifPresent(row -> ended.putDurable(jobId, row));
              callback.accept(
                  ended
                      .state(jobId)
                      .<JobAnswer>map(JobAnswer.State::new)
                      .orElse(new JobAnswer.UnknownJob()));
            },
            outcome -> callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE)));
  }

  @Override
  public void cancel(String jobId, Consumer<JobAnswer> callback) {
    Optional<Job> found = registry.find(jobId);
    if (found.isEmpty()) {
      state(
          jobId,
          answer ->
              callback.accept(
                  answer instanceof JobAnswer.State ? new JobAnswer.Cancelled() : answer));
      return;
    }
    Job job = found.get();
    Job.Waiter waiter = new Job.Waiter(Optional.empty(), callback);
    switch (job.phase()) {
      case STORING ->
          callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
      case ACTIVE -> {
        job.waiters().add(waiter);
        if (job.transferred() && !job.bestEffort()) {
          transfers.cancel(job);
        } else {
          finalizer.end(job, JobState.CANCELLED);
        }
      }
      case ENDING -> job.waiters().add(waiter);
      case ENDED -> callback.accept(new JobAnswer.Cancelled());
    }
  }

  @Override
  public void host(HostRequest request, Consumer<JobAnswer> callback) {
    if (ready() && log.coversWholeShard()) {
      hostedJobs.host(request, callback);
    } else {
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
    }
  }

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {
    callback.accept(
        recovered
            ? new JobAnswer.Pending(registry.pending(queueName))
            : new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
  }
}
