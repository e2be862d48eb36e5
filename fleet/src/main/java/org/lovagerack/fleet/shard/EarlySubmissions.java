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
 * Holds submissions that arrive after a takeover and before recovery has read the durable jobs.
 * Recovery usually takes milliseconds. A submission is held as long as its job can still end within
 * its useful time and refused if recovery takes longer.
 */
final class EarlySubmissions {

  /** Receives held submissions after recovery. */
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
  private final Set<HeldSubmission> held = new LinkedHashSet<>();

  EarlySubmissions(TimerService timer) {
    this.timer = timer;
  }

  /** Holds a submission until it is handed over, abandoned or expired. */
  void hold(Submission submission, Consumer<JobAnswer> callback) {
    new HeldSubmission(submission, callback);
  }

  /** Drops the submissions of a job from one entry VM whose client has disconnected. */
  void abandon(String jobId, EntryId entry) {
    for (HeldSubmission heldSubmission : List.copyOf(held)) {
      if (heldSubmission.submission.jobId().equals(jobId)
          && heldSubmission.submission.entry().equals(entry)) {
        heldSubmission.release();
      }
    }
  }

  /** Hands over all held submissions in order of arrival. */
  void handOver(Intake intake) {
    for (HeldSubmission heldSubmission : List.copyOf(held)) {
      heldSubmission.release();
      intake.submit(
          heldSubmission.submission, heldSubmission.arrivedNanos, heldSubmission.callback);
    }
  }

  /** Refuses all held submissions because this process no longer owns the shard. */
  void close() {
    for (HeldSubmission heldSubmission : List.copyOf(held)) {
      heldSubmission.release();
      heldSubmission.callback.accept(new JobAnswer.Refused(ErrorKind.OWNER_LOST, Duration.ZERO));
    }
  }

  private final class HeldSubmission {
    private final Submission submission;
    private final Consumer<JobAnswer> callback;
    private final long arrivedNanos = timer.nanoTime();
    private final TimerSubscription expiry;

    HeldSubmission(Submission submission, Consumer<JobAnswer> callback) {
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
          "the jobs of former owners were not read in time",
          "after",
          Duration.ofNanos(timer.nanoTime() - arrivedNanos));
      callback.accept(
          new JobAnswer.Refused(ErrorKind.NOT_READY, ShardController.RETRY_AFTER_OUTAGE));
    }
  }
}
