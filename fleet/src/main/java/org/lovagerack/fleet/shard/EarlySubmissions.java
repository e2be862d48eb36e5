package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/**
 * Submissions that reach a new owner before it has read the jobs of earlier ones. Answers the load
 * of a takeover: reading takes milliseconds, so a job is kept for as long as it can still end while
 * it is of use, and refused when the store lets the owner wait for longer.
 */
final class EarlySubmissions {

  /** Takes what has been held. */
  interface Intake {
    /**
     * Submits a job.
     *
     * @param arrivedNanos when the submission came, by the timer service's clock
     */
    void submit(Submission submission, long arrivedNanos, Consumer<JobAnswer> callback);
  }

  private static final EventLog LOG = new EventLog(EarlySubmissions.class);

  private final TimerService timer;
  private final Set<Held> held = new LinkedHashSet<>();

  EarlySubmissions(TimerService timer) {
    this.timer = timer;
  }

  /** Holds a submission until it is handed over, abandoned, or of no more use. */
  void hold(Submission submission, Consumer<JobAnswer> callback) {
    new Held(submission, callback);
  }

  /** Drops the submissions of a job by one entry VM, whose client is gone. */
  void abandon(String jobId, EntryId entry) {
    for (Held one : List.copyOf(held)) {
      if (one.submission.jobId().equals(jobId) && one.submission.entry().equals(entry)) {
        one.release();
      }
    }
  }

  /** Hands over everything in the order of arrival. */
  void handOver(Intake intake) {
    for (Held one : List.copyOf(held)) {
      one.release();
      intake.submit(one.submission, one.arrivedNanos, one.callback);
    }
  }

  /** Answers everything, because another process owns the shard. */
  void close() {
    for (Held one : List.copyOf(held)) {
      one.release();
      one.callback.accept(new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO));
    }
  }

  private final class Held {
    private final Submission submission;
    private final Consumer<JobAnswer> callback;
    private final long arrivedNanos = timer.nanoTime();
    private final TimerSubscription expiry;

    Held(Submission submission, Consumer<JobAnswer> callback) {
      this.submission = submission;
      this.callback = callback;
      this.expiry =
          timer.after(
              Objective.timeToStart(
                  Objective.of(submission.queue(), submission.spec()), submission.spec()),
              this::expire);
      held.add(this);
    }

    private void release() {
      expiry.cancel();
      held.remove(this);
    }

    private void expire() {
      release();
      LOG.write(
          LogEvent.JOB_REFUSED,
          "job",
          submission.jobId(),
          "queue",
          submission.queue().name(),
          "kind",
          ErrorKind.NOT_READY,
          "reason",
          "the jobs of earlier owners were not read in time",
          "after",
          Duration.ofNanos(timer.nanoTime() - arrivedNanos));
      callback.accept(new JobAnswer.Refused(ErrorKind.NOT_READY, ShardTenure.RETRY_AFTER_OUTAGE));
    }
  }
}
