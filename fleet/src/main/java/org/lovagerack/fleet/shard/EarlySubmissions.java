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
 * Defers submissions that arrive after a takeover and before recovery has read the durable jobs.
 * Recovery usually takes milliseconds. A submission is deferred as long as its job can still end
 * within its useful time and refused if recovery takes longer.
 */
final class EarlySubmissions {

  /** Receives deferred submissions after recovery. */
  interface Intake {
    /**
     * Submits a job.
     *
     * @param arrivedNanos monotonic time at which the submission arrived, in nanoseconds
     */
    void submit(Submission submission, long arrivedNanos, Consumer<JobAnswer> callback);
  }

  private static final EventLog LOG = new EventLog(EarlySubmissions.class);

  private final TimerService timer;
  private final Set<DeferredSubmission> deferred = new LinkedHashSet<>();

  EarlySubmissions(TimerService timer) {
    this.timer = timer;
  }

  /** Defers a submission until it is handed over, abandoned or expired. */
  void defer(Submission submission, Consumer<JobAnswer> callback) {
    new DeferredSubmission(submission, callback);
  }

  /** Drops the submissions of a job from one entry VM whose client has disconnected. */
  void abandon(String jobId, EntryId entry) {
    for (DeferredSubmission deferredSubmission : List.copyOf(deferred)) {
      if (deferredSubmission.submission.jobId().equals(jobId)
          && deferredSubmission.submission.entry().equals(entry)) {
        deferredSubmission.release();
      }
    }
  }

  /** Hands over all deferred submissions in order of arrival. */
  void handOver(Intake intake) {
    for (DeferredSubmission deferredSubmission : List.copyOf(deferred)) {
      deferredSubmission.release();
      intake.submit(
          deferredSubmission.submission,
          deferredSubmission.arrivedNanos,
          deferredSubmission.callback);
    }
  }

  /** Refuses all deferred submissions because this process no longer owns the shard. */
  void close() {
    for (DeferredSubmission deferredSubmission : List.copyOf(deferred)) {
      deferredSubmission.release();
      deferredSubmission.callback.accept(
          new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO));
    }
  }

  private final class DeferredSubmission {
    private final Submission submission;
    private final Consumer<JobAnswer> callback;
    private final long arrivedNanos = timer.nanoTime();
    private final TimerSubscription expiry;

    DeferredSubmission(Submission submission, Consumer<JobAnswer> callback) {
      this.submission = submission;
      this.callback = callback;
      this.expiry =
          timer.after(
              Objective.maxStartDelay(
                  Objective.of(submission.queue(), submission.spec()), submission.spec()),
              this::expire);
      deferred.add(this);
    }

    private void release() {
      expiry.cancel();
      deferred.remove(this);
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
          "the jobs of former owners were not read in time",
          "after",
          Duration.ofNanos(timer.nanoTime() - arrivedNanos));
      callback.accept(
          new JobAnswer.Refused(ErrorKind.NOT_READY, ShardController.RETRY_AFTER_OUTAGE));
    }
  }
}
