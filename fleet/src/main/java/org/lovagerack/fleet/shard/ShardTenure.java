package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * What the owner of a shard does while it owns it: it accepts jobs, has their tasks placed on
 * workers, and ends them. It first reads the jobs of earlier owners. Their tasks start only when
 * every worker has reported under the new token, or any lease that an earlier owner extended is
 * over; until then a run that is still at work could not be told from one that is not.
 *
 * <p>Jobs that are kept start and end only under a valid lease. Jobs of best effort go on while the
 * store is away, as long as the entry VM that holds the client's connection is in contact.
 */
final class ShardTenure implements JobService {

  /** Entry VMs submit jobs again within about a tenth of a second of learning the new owner. */
  private static final Duration ORPHAN_GRACE = Duration.ofMillis(300);

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration GATE_RETRY = Duration.ofMillis(100);

  /** A quarter of the silence that it looks for. */
  private static final Duration SWEEP_PERIOD = EntryContacts.SILENCE.dividedBy(4);

  /**
   * Healthy workers report within milliseconds of being asked, and a slow store lists them within
   * half a second; those that have not reported by then do not count.
   */
  private static final Duration WORKERS_REPORT_WITHIN = Duration.ofMillis(500);

  /** What a caller is told while the store or the workers are away; outages last seconds. */
  static final Duration RETRY_AFTER_OUTAGE = Duration.ofSeconds(1);

  private static final EventLog LOG = new EventLog(ShardTenure.class);

  private final OwnedShardFactory parts;
  private final ShardRows rows;
  private final TenureLog log;
  private final JobBook book = new JobBook();
  private final EndedJobs ended;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final RecoveryGate gate = new RecoveryGate();
  private final JobEnds ends;
  private final Placer placer;
  private final RunTracker runs;
  private final WorkerLinks links;
  private final JobIntake intake;
  private final EarlySubmissions early;
  private final Crowding crowding = new Crowding();
  private boolean recovered;
  private boolean workersKnown;
  private boolean closed;

  /**
   * Creates a tenure.
   *
   * @param directory workers that it may use
   */
  ShardTenure(OwnedShardFactory parts, ShardRows rows, TenureLog log, WorkerDirectory directory) {
    this.parts = parts;
    this.rows = rows;
    this.log = log;
    this.ended = new EndedJobs(parts.bounds().statusRetention());
    this.ends =
        new JobEnds(parts.timer(), parts.wallMillis(), log, rows, book, ended, parts.counters());
    this.placer = new Placer(parts.timer(), parts.configuration(), book, speeds, this::mayStart);
    this.runs =
        new RunTracker(
            parts.timer(),
            log,
            book,
            ends,
            gate,
            this::fateUnknown,
            speeds,
            placer,
            parts.counters(),
            log::token,
            this::openGateIfAllJoined);
    this.links =
        new WorkerLinks(
            parts.timer(),
            parts.calls(),
            directory,
            parts.mayUse(),
            parts.bounds(),
            log::token,
            runs,
            placer::request);
    placer.use(links);
    this.intake =
        new JobIntake(
            parts, rows, log, book, ended, runs, links, speeds, placer, () -> workersKnown);
    this.early = new EarlySubmissions(parts.timer());
  }

  /**
   * Reads what earlier owners have stored, and opens the links to the workers.
   *
   * @param known workers that an earlier owner may have used; empty if none are known
   */
  void start(Collection<WorkerEntry> known) {
    links.expect(known);
    parts
        .timer()
        .after(
            LeaseLength.LONGEST.plus(parts.bounds().workerLeaseSurelyOver()),
            () -> openGate("earlier leases are over"));
    new ShardRecovery(parts.timer(), parts.store(), rows, log.token(), () -> closed)
        .read(this::recover);
    parts.timer().after(SWEEP_PERIOD, this::sweep);
    ends.start();
  }

  /** Starts without a store: there are no jobs of earlier owners that could be read. */
  void startWithoutStore() {
    recover(List.of());
    parts.timer().after(SWEEP_PERIOD, this::sweep);
    ends.start();
  }

  /** The token has been raised: workers that an island used may run its tasks. */
  void tokenRaised() {
    runs.expectOrphans();
    parts.timer().after(ORPHAN_GRACE, runs::stopOrphans);
    links.all().forEach(WorkerLink::requestReport);
  }

  /**
   * Ends all activity; nothing is stored or ordered any more, and who waits must look elsewhere.
   */
  void close() {
    closed = true;
    links.close();
    log.close();
    early.close();
    for (Job job : book.all()) {
      // The next owner need not look for runs of a job that certainly has none.
      JobEnds.answer(
          job,
          job.bestEffort() && job.certainlyNotRun()
              ? new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO)
              : new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    }
  }

  boolean ready() {
    return recovered && !closed;
  }

  private void recover(List<Job> jobs) {
    jobs.forEach(book::add);
    recovered = true;
    LOG.write(
        LogEvent.SHARD_RECOVERED,
        "partition",
        rows.partition(),
        "token",
        log.token(),
        "jobs",
        jobs.size());
    links.open();
    parts.timer().after(ORPHAN_GRACE, runs::stopOrphans);
    parts.timer().after(WORKERS_REPORT_WITHIN, () -> workersKnown = true);
    early.handOver(intake::submit);
    openGateIfAllJoined();
  }

  private void openGateIfAllJoined() {
    if (recovered && links.allJoined()) {
      workersKnown = true;
      openGate("all workers have reported");
    }
  }

  private void openGate(String reason) {
    if (gate.isOpen() || closed) {
      return;
    }
    if (!recovered) {
      // Reading the jobs has no bound on time; their tasks wait for that, too.
      parts.timer().after(GATE_RETRY, () -> openGate(reason));
      return;
    }
    gate.open();
    List<Job> waiting =
        book.all().stream()
            .filter(job -> job.recovered() && job.phase() == Job.Phase.ACTIVE)
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
        book.queue().add(job);
      }
    }
    placer.request();
  }

  private boolean mayStart(Job job) {
    if (closed || !gate.admits(job)) {
      return false;
    }
    return job.bestEffort() ? awaited(job) && !fateUnknown(job) : log.leaseValid();
  }

  /** Returns whether an entry VM that waits for a job was heard from lately. */
  private boolean awaited(Job job) {
    return job.waiting().stream()
        .anyMatch(waiter -> waiter.entry().filter(parts.contacts()::heardLately).isPresent());
  }

  /** Returns whether an earlier owner's runs of a job may still be at work unseen. */
  private boolean fateUnknown(Job job) {
    return job.repeated()
        && !(log.wholeShard() && links.allCertain())
        && parts.timer().nanoTime() - job.acceptedNanos() < JobIntake.REPEAT_DELAY.toNanos();
  }

  /**
   * Ends jobs of best effort whose clients cannot be answered any more, or that no worker had room
   * for.
   */
  private void sweep() {
    if (closed) {
      return;
    }
    long now = parts.timer().nanoTime();
    crowding.look(
        book.queue().inOrder(now).stream()
            .anyMatch(job -> TaskQueue.canMeetObjective(job, now) && mayStart(job)));
    for (Job job : book.all()) {
      if (job.bestEffort()) {
        boolean changed =
            job.waiting()
                .removeIf(waiter -> waiter.entry().filter(parts.contacts()::inContact).isEmpty());
        if (changed && job.waiting().isEmpty()) {
          ends.discard(job, "the entry VM of its client is silent");
        } else if (job.certainlyNotRun()
            && crowding.waitsInVain(
                TaskQueue.canMeetObjective(job, now), !job.tooLateToStart(now))) {
          intake.giveUp(job);
        }
      }
    }
    parts.contacts().forgetSilent();
    placer.request();
    links.forgetGone(speeds::forget);
    parts.timer().after(SWEEP_PERIOD, this::sweep);
  }

  @Override
  public void submit(Submission submission, Consumer<JobAnswer> callback) {
    if (recovered) {
      intake.submit(submission, parts.timer().nanoTime(), callback);
    } else {
      early.hold(submission, callback);
    }
  }

  @Override
  public void abandon(Submission submission) {
    early.abandon(submission.jobId(), submission.entry());
    Optional<Job> job = book.find(submission.jobId()).filter(Job::bestEffort);
    if (job.isEmpty()) {
      return;
    }
    EntryId entry = submission.entry();
    boolean changed =
        job.get().waiting().removeIf(waiter -> waiter.entry().equals(Optional.of(entry)));
    if (changed && job.get().waiting().isEmpty()) {
      ends.discard(job.get(), "its client is gone");
    }
  }

  @Override
  public void state(String jobId, Consumer<JobAnswer> callback) {
    Optional<Job> job = book.find(jobId);
    Optional<JobState> end = ended.state(jobId);
    if (job.isPresent() && job.get().phase() != Job.Phase.STORING) {
      callback.accept(new JobAnswer.State(job.get().shownState()));
    } else if (end.isPresent()) {
      callback.accept(new JobAnswer.State(end.get()));
    } else if (job.isPresent() || !recovered) {
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
    } else if (!log.wholeShard()) {
      // The job may be stored, which an island cannot see.
      callback.accept(new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, RETRY_AFTER_OUTAGE));
    } else {
      readEnded(jobId, callback);
    }
  }

  private void readEnded(String jobId, Consumer<JobAnswer> callback) {
    parts
        .store()
        .readRow(
            rows.ended(jobId),
            READ_TIMEOUT,
            stored -> {
              if (closed) {
                callback.accept(new JobAnswer.Unresolved(ErrorKind.PLATFORM_UNAVAILABLE));
                return;
              }
              stored.ifPresent(row -> ended.putStored(jobId, row));
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
    Optional<Job> found = book.find(jobId);
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
        job.waiting().add(waiter);
        ends.end(job, JobState.CANCELLED);
      }
      case ENDING -> job.waiting().add(waiter);
      case ENDED -> callback.accept(new JobAnswer.Cancelled());
    }
  }

  @Override
  public void pending(String queueName, Consumer<JobAnswer> callback) {
    callback.accept(
        recovered
            ? new JobAnswer.Pending(book.pending(queueName))
            : new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER_OUTAGE));
  }
}
