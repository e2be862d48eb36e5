package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.store.RowCondition;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Accepts, stores or refuses the jobs that are submitted to the owner of a shard, and recognizes
 * those that it has.
 */
final class JobIntake {

  /**
   * Time after which an owner that lost contact with an entry VM has ended that VM's jobs: the
   * silence, a sweep, and the stops.
   */
  static final Duration REPEAT_DELAY = EntryContacts.SILENCE.plusMillis(400);

  private static final EventLog LOG = new EventLog(JobIntake.class);

  private final OwnedShardFactory parts;
  private final ShardRows rows;
  private final TenureLog log;
  private final JobBook book;
  private final EndedJobs ended;
  private final RunTracker runs;
  private final WorkerLinks links;
  private final WorkerSpeeds speeds;
  private final Placer placer;
  private final BooleanSupplier workersKnown;

  /**
   * Creates an intake.
   *
   * @param workersKnown whether the workers have had time to report to this owner
   */
  JobIntake(
      OwnedShardFactory parts,
      ShardRows rows,
      TenureLog log,
      JobBook book,
      EndedJobs ended,
      RunTracker runs,
      WorkerLinks links,
      WorkerSpeeds speeds,
      Placer placer,
      BooleanSupplier workersKnown) {
    this.parts = parts;
    this.rows = rows;
    this.log = log;
    this.book = book;
    this.ended = ended;
    this.runs = runs;
    this.links = links;
    this.speeds = speeds;
    this.placer = placer;
    this.workersKnown = workersKnown;
  }

  /**
   * Submits a job, as {@link org.lovagerack.fleet.job.JobService#submit} says.
   *
   * @param arrivedNanos when the submission came, by the timer service's clock
   */
  void submit(Submission submission, long arrivedNanos, Consumer<JobAnswer> callback) {
    Job.Waiter waiter = new Job.Waiter(Optional.of(submission.entry()), callback);
    boolean bestEffort = submission.spec().bestEffort();
    Optional<Job> known = book.find(submission.jobId());
    if (known.isPresent()) {
      if (known.get().phase() == Job.Phase.STORING || bestEffort) {
        known.get().waiting().add(waiter);
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
    Job job =
        new Job(
            new SubmittedJob(
                submission.jobId(), submission.queue(), log.token(), submission.spec()),
            arrivedNanos,
            log.token(),
            false,
            submission.repeated());
    Optional<JobAnswer.Refused> refusal = refusal(job);
    if (refusal.isPresent()) {
      refuse(job, refusal.get(), "work before it " + workBefore(job));
      callback.accept(refusal.get());
      return;
    }
    job.waiting().add(waiter);
    book.add(job);
    if (bestEffort) {
      runs.claimOrphans(job);
      accept(job);
      runs.endIfDone(job);
    } else {
      store(job);
    }
  }

  /**
   * Refuses a job of best effort that has waited until it could no longer be of use, without a run.
   */
  void giveUp(Job job) {
    book.remove(job);
    job.phase(Job.Phase.ENDED);
    JobAnswer.Refused refusal =
        new JobAnswer.Refused(ErrorKind.OVERLOADED, ShardTenure.RETRY_AFTER_OUTAGE);
    refuse(
        job,
        refusal,
        "no worker had room for "
            + Duration.ofNanos(parts.timer().nanoTime() - job.acceptedNanos()));
    JobEnds.answer(job, refusal);
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
    parts.counters().accepted();
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
        Duration.ofNanos(parts.timer().nanoTime() - job.acceptedNanos()));
    book.queue().add(job);
    placer.request();
    if (job.repeated()) {
      parts.timer().after(REPEAT_DELAY, placer::request);
    }
  }

  private void refuse(Job job, JobAnswer.Refused refusal, String reason) {
    parts.counters().refused(refusal.kind());
    LOG.write(
        LogEvent.JOB_REFUSED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "kind",
        refusal.kind(),
        "retryAfter",
        refusal.retryAfter(),
        "reason",
        reason);
  }

  private Optional<JobAnswer.Refused> refusal(Job job) {
    if (!job.bestEffort() && !(log.storeAvailable() && log.leaseValid())) {
      return Optional.of(
          new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, ShardTenure.RETRY_AFTER_OUTAGE));
    }
    if (!workersKnown.getAsBoolean()) {
      // The capacity shows only when the workers have reported; few jobs come until then.
      return Optional.empty();
    }
    double ownWork = job.tasks().stream().mapToDouble(TaskQueue::work).sum();
    double capacity = links.capacity(job.queue().service(), speeds);
    double spread = capacity <= 0 ? 0 : ownWork / capacity;
    Duration ownDuration =
        Duration.ofNanos((long) Math.max((double) job.estimatedChain().toNanos(), spread * 1e9));
    return Admission.decide(workBefore(job), capacity, ownDuration, job.objective())
        .map(
            retryAfter ->
                new JobAnswer.Refused(
                    capacity <= 0 ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED, retryAfter));
  }

  private double workBefore(Job job) {
    return book.queue().workBefore(job, parts.timer().nanoTime());
  }

  private final class StoredListener implements CommitEntry.Listener {
    private final Job job;

    StoredListener(Job job) {
      this.job = job;
    }

    @Override
    public void committed() {
      accept(job);
      JobEnds.answer(job, new JobAnswer.Accepted());
    }

    @Override
    public void conflicted(StoredRow row) {
      book.remove(job);
      ended.putStored(job.id(), row);
      JobEnds.answer(job, new JobAnswer.Accepted());
    }

    @Override
    public void dropped(String reason) {
      book.remove(job);
      JobAnswer.Refused refusal =
          new JobAnswer.Refused(ErrorKind.PLATFORM_UNAVAILABLE, ShardTenure.RETRY_AFTER_OUTAGE);
      refuse(job, refusal, reason);
      JobEnds.answer(job, refusal);
    }
  }
}
