package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
 * Ends jobs: stores the end of those that are kept, stops what still runs, and answers who waits.
 * An end that a worker lists is settled only when it is durable, so that no owner can start a task
 * again whose end was acknowledged.
 */
final class JobEnds {

  /** Time after which ends of an unfinished job are stored so that workers may forget them. */
  private static final Duration PROGRESS_DELAY = Duration.ofSeconds(1);

  private static final Duration FORGET_PERIOD = Duration.ofSeconds(5);

  /** Ended jobs that one commit entry removes. */
  private static final int REMOVALS_PER_ENTRY = 40;

  private static final EventLog LOG = new EventLog(JobEnds.class);

  private final TimerService timer;
  private final LongSupplier wallMillis;
  private final TenureLog log;
  private final ShardRows rows;
  private final JobBook book;
  private final EndedJobs ended;
  private final TenureCounters counters;

  JobEnds(
      TimerService timer,
      LongSupplier wallMillis,
      TenureLog log,
      ShardRows rows,
      JobBook book,
      EndedJobs ended,
      TenureCounters counters) {
    this.timer = timer;
    this.wallMillis = wallMillis;
    this.log = log;
    this.rows = rows;
    this.book = book;
    this.ended = ended;
    this.counters = counters;
  }

  /** Starts to forget jobs that ended long ago. */
  void start() {
    timer.after(FORGET_PERIOD, this::forget);
  }

  /** Ends a job, once its end is durable if it is kept. */
  void end(Job job, JobState state) {
    job.phase(Job.Phase.ENDING);
    job.finalState(state);
    book.queue().remove(job);
    EndedJob record = new EndedJob(state, wallMillis.getAsLong());
    if (job.bestEffort()) {
      ended.putUnstored(job.id(), record);
      finish(job);
      return;
    }
    List<RowKey> removals = new ArrayList<>();
    removals.add(rows.job(job.id()));
    if (job.progressStored()) {
      removals.add(rows.progress(job.id()));
    }
    append(
        List.of(new RowWrite(rows.ended(job.id()), JobCodec.encode(record))),
        removals,
        "end of job " + job.id(),
        () -> {
          ended.putStored(job.id(), record);
          finish(job);
        },
        () -> answer(job, new JobAnswer.Unresolved(ErrorKind.OWNER_LOST)));
  }

  /** Ends a job of best effort that nobody waits for, without an end that others could ask for. */
  void discard(Job job, String reason) {
    LOG.write(LogEvent.JOB_ABANDONED, "job", job.id(), "reason", reason);
    counters.abandoned();
    answer(job, new JobAnswer.Cancelled());
    job.phase(Job.Phase.ENDED);
    stopRuns(job);
    book.remove(job);
  }

  /** Takes the receipt of an end; it is settled when the end is durable or need not be. */
  void receive(Job job, EndReceipt receipt) {
    if (job.bestEffort()) {
      receipt.settle();
      return;
    }
    job.unsettledEnds().add(receipt);
    timer.after(PROGRESS_DELAY, () -> storeProgress(job));
  }

  /** Answers everybody who waits for a job. */
  static void answer(Job job, JobAnswer answer) {
    List<Job.Waiter> waiters = List.copyOf(job.waiting());
    job.waiting().clear();
    waiters.forEach(waiter -> waiter.callback().accept(answer));
  }

  private void finish(Job job) {
    job.phase(Job.Phase.ENDED);
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
    job.unsettledEnds().forEach(EndReceipt::settle);
    book.remove(job);
    answer(
        job, job.bestEffort() ? new JobAnswer.State(job.finalState()) : new JobAnswer.Cancelled());
  }

  private static void stopRuns(Job job) {
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.ASSIGNED) {
        task.worker().stop(task.run());
      }
    }
  }

  private void storeProgress(Job job) {
    if (job.phase() != Job.Phase.ACTIVE || job.unsettledEnds().isEmpty()) {
      return;
    }
    List<EndReceipt> covered = List.copyOf(job.unsettledEnds());
    job.unsettledEnds().clear();
    job.markProgressStored();
    append(
        List.of(new RowWrite(rows.progress(job.id()), JobCodec.encode(job.progress()))),
        List.of(),
        "progress of job " + job.id(),
        () -> covered.forEach(EndReceipt::settle),
        () -> {});
  }

  private void forget() {
    if (log.closed()) {
      return;
    }
    ended.forgetUnstored(wallMillis.getAsLong());
    List<RowKey> expired =
        ended.takeExpired(wallMillis.getAsLong(), REMOVALS_PER_ENTRY).stream()
            .map(rows::ended)
            .toList();
    if (!expired.isEmpty()) {
      append(List.of(), expired, "removal of ended jobs", () -> {}, () -> {});
    }
    timer.after(FORGET_PERIOD, this::forget);
  }

  private void append(
      List<RowWrite> writes,
      List<RowKey> removals,
      String subject,
      Runnable committed,
      Runnable dropped) {
    log.append(
        new CommitEntry(
            List.of(),
            writes,
            removals,
            false,
            new CommitEntry.Listener() {
              @Override
              public void committed() {
                committed.run();
              }

              @Override
              public void conflicted(StoredRow row) {
                throw new IllegalStateException(subject + " has no condition: " + row);
              }

              @Override
              public void dropped(String reason) {
                LOG.write(LogEvent.RECORD_DROPPED, "record", subject, "reason", reason);
                dropped.run();
              }
            }));
  }
}
