package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagerack.fleet.job.EndedJob;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobCodec;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.RowWrite;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Ends jobs: stores the final state of durable jobs, stops remaining runs and answers the waiting
 * callers. A result listed by a worker is acknowledged only when it is durable. Otherwise a later
 * owner could restart a task whose result has already been acknowledged.
 */
final class JobFinalizer {

  /** Delay before the results of an unfinished job are stored and can be acknowledged. */
  private static final Duration PROGRESS_STORE_DELAY = Duration.ofSeconds(1);

  private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

  /** Maximum number of ended jobs removed by one commit entry. */
  private static final int REMOVALS_PER_ENTRY = 40;

  private static final EventLog LOG = new EventLog(JobFinalizer.class);

  private final TimerService timer;
  private final LongSupplier wallMillis;
  private final DecisionLog log;
  private final ShardRows rows;
  private final JobRegistry registry;
  private final EndedJobs ended;
  private final LossRecords lossRecords;
  private final JobCounters counters;
  private Consumer<Job> releaseListener = job -> {};

  JobFinalizer(
      TimerService timer,
      LongSupplier wallMillis,
      DecisionLog log,
      ShardRows rows,
      JobRegistry registry,
      EndedJobs ended,
      LossRecords lossRecords,
      JobCounters counters) {
    this.timer = timer;
    this.wallMillis = wallMillis;
    this.log = log;
    this.rows = rows;
    this.registry = registry;
    this.ended = ended;
    this.lossRecords = lossRecords;
    this.counters = counters;
  }

  /** Sets the listener of transferred best-effort jobs that end here. */
  void setReleaseListener(Consumer<Job> listener) {
    releaseListener = listener;
  }

  /** Starts the periodic removal of expired jobs. */
  void start() {
    timer.after(EXPIRY_PERIOD, this::removeExpired);
  }

  /** Ends a job; the end of a durable job takes effect when it has been stored. */
  void end(Job job, JobState state) {
    job.phase(Job.Phase.ENDING);
    job.finalState(state);
    registry.queue().remove(job);
    EndedJob record = new EndedJob(state, wallMillis.getAsLong());
    if (job.bestEffort()) {
      ended.putBestEffort(job.id(), record);
      if (state == JobState.COMPLETED && lossRecords.remove(job.id())) {
        append(
            List.of(),
            List.of(rows.progress(job.id())),
            true,
            "removal of the losses of job " + job.id(),
            () -> {},
            () -> {});
      }
      finish(job);
      return;
    }
    storeEnd(job, record, () -> finish(job));
  }

  /** Replaces the stored job by its end. */
  private void storeEnd(Job job, EndedJob record, Runnable committed) {
    List<RowKey> removals = new ArrayList<>();
    removals.add(rows.job(job.id()));
    if (job.progressStored()) {
      removals.add(rows.progress(job.id()));
    }
    append(
        List.of(new RowWrite(rows.ended(job.endKey()), JobCodec.encode(record))),
        removals,
        false,
        "end of job " + job.id(),
        () -> {
          ended.putDurable(job.endKey(), record);
          committed.run();
        },
        () -> answer(job, new JobAnswer.Unresolved(ErrorKind.OWNER_LOST)));
  }

  /** Hands a hosted job back to the shard that accepted it, which continues it. */
  void handBack(Job job) {
    registry.queue().remove(job);
    long now = wallMillis.getAsLong();
    if (job.bestEffort()) {
      close(job, new JobAnswer.HandedBack(job.carriedState(now)));
      return;
    }
    job.phase(Job.Phase.ENDING);
    EndedJob record = new EndedJob(JobState.QUEUED, now, Optional.of(job.carriedState(now)));
    storeEnd(job, record, () -> close(job, record.answerToHome()));
  }

  /** Stores where the tasks of a durable job run, with its progress. */
  void storeSite(Job job, Runnable committed) {
    job.markProgressStored();
    append(
        List.of(
            new RowWrite(rows.job(job.id()), JobCodec.encode(job.submitted())), progressWrite(job)),
        List.of(),
        false,
        "site of job " + job.id(),
        committed,
        () -> {});
  }

  /** Refuses a job that certainly never runs. */
  void refuse(Job job, JobAnswer.Refused refusal, String reason) {
    counters.refused(refusal.kind());
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
    close(job, refusal);
  }

  /** Ends a best-effort job without waiting callers; records no final state. */
  void discard(Job job, String reason) {
    LOG.write(LogEvent.JOB_ABANDONED, "job", job.id(), "reason", reason);
    abandon(job);
  }

  /**
   * Ends a best-effort job whose entry VM may have submitted it to another owner. Its runs lapse
   * unless they can be stopped before.
   */
  void revoke(Job job, String reason) {
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.ASSIGNED) {
        task.worker().revoke(task.run());
      }
    }
    discard(job, reason);
  }

  /** Ends a best-effort job with an unknown outcome; records no final state. */
  void abandon(Job job) {
    counters.abandoned();
    answer(job, new JobAnswer.Unresolved(ErrorKind.OUTCOME_UNKNOWN));
    job.phase(Job.Phase.ENDED);
    stopRuns(job);
    registry.remove(job);
  }

  /** Adds the result of a run, which is acknowledged when it is durable or need not be durable. */
  void addResult(Job job, UnacknowledgedResult unacknowledged) {
    if (job.bestEffort()) {
      unacknowledged.acknowledge();
      return;
    }
    job.unacknowledgedResults().add(unacknowledged);
    timer.after(PROGRESS_STORE_DELAY, () -> storeProgress(job));
  }

  /** Answers all callers that are waiting for a job. */
  static void answer(Job job, JobAnswer answer) {
    List<Job.Waiter> waiters = List.copyOf(job.waiters());
    job.waiters().clear();
    waiters.forEach(waiter -> waiter.callback().accept(answer));
  }

  private void finish(Job job) {
    Duration took = Duration.ofNanos(timer.nanoTime() - job.acceptedNanos());
    counters.ended(job.finalState(), took);
    LOG.write(
        LogEvent.JOB_ENDED,
        "job",
        job.id(),
        "queue",
        job.queue().name(),
        "state",
        job.finalState(),
        "took",
        took,
        "objective",
        job.objective());
    stopRuns(job);
    close(job, job.finalAnswer());
  }

  /** Forgets a job that has ended and answers its callers. */
  private void close(Job job, JobAnswer answer) {
    job.phase(Job.Phase.ENDED);
    job.unacknowledgedResults().forEach(UnacknowledgedResult::acknowledge);
    registry.remove(job);
    answer(job, answer);
  }

  private void stopRuns(Job job) {
    releaseListener.accept(job);
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.ASSIGNED) {
        task.worker().stop(task.run());
      }
    }
  }

  /** Stores the results of all jobs now, so that they can be acknowledged. */
  void storeResults() {
    registry.all().forEach(this::storeProgress);
  }

  private void storeProgress(Job job) {
    if (job.phase() != Job.Phase.ACTIVE || job.unacknowledgedResults().isEmpty()) {
      return;
    }
    List<UnacknowledgedResult> covered = List.copyOf(job.unacknowledgedResults());
    job.unacknowledgedResults().clear();
    storeProgress(job, () -> covered.forEach(UnacknowledgedResult::acknowledge));
  }

  /**
   * Stores the lost runs of a job for later owners. Those of a best-effort job are also kept here
   * after its end, in case it is submitted again.
   */
  void storeLosses(Job job) {
    if (job.phase() == Job.Phase.ACTIVE) {
      if (job.bestEffort()) {
        lossRecords.put(job.id(), job.progress(wallMillis.getAsLong()));
      }
      storeProgress(job, () -> {});
    }
  }

  private void storeProgress(Job job, Runnable committed) {
    job.markProgressStored();
    append(
        List.of(progressWrite(job)),
        List.of(),
        job.bestEffort(),
        "progress of job " + job.id(),
        committed,
        () -> {});
  }

  private RowWrite progressWrite(Job job) {
    return new RowWrite(
        rows.progress(job.id()), JobCodec.encode(job.progress(wallMillis.getAsLong())));
  }

  private void removeExpired() {
    if (log.closed()) {
      return;
    }
    timer.after(EXPIRY_PERIOD, this::removeExpired);
    ended.removeExpiredBestEffort(wallMillis.getAsLong());
    List<RowKey> expired = new ArrayList<>();
    ended
        .removeExpiredDurable(wallMillis.getAsLong(), REMOVALS_PER_ENTRY)
        .forEach(job -> expired.add(rows.ended(job)));
    lossRecords
        .removeExpired(wallMillis.getAsLong(), REMOVALS_PER_ENTRY)
        .forEach(job -> expired.add(rows.progress(job)));
    if (!expired.isEmpty()) {
      append(List.of(), expired, false, "removal of ended jobs", () -> {}, () -> {});
    }
  }

  private void append(
      List<RowWrite> writes,
      List<RowKey> removals,
      boolean optional,
      String subject,
      Runnable committed,
      Runnable dropped) {
    log.append(
        new CommitEntry(
            List.of(),
            writes,
            removals,
            optional,
            new CommitEntry.Listener() {
              @Override
              public void committed() {
                committed.run();
              }

              @Override
              public void conflicted(StoredRow row) {
                throw new IllegalStateException(
                    subject + " conflicted although it has no condition: " + row);
              }

              @Override
              public void dropped(String reason) {
                LOG.write(LogEvent.RECORD_DROPPED, "record", subject, "reason", reason);
                dropped.run();
              }
            }));
  }
}
