package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Passes one submission to the owner of its shard, and again to the next owner if the first one
 * fails. A submission may be repeated because owners know a job by its identifier; it is given up
 * when the job could no longer be of use.
 */
final class SubmissionRelay {

  /**
   * Pause before the next attempt; a takeover from a process that is gone takes about twice this.
   */
  private static final Duration PAUSE = Duration.ofMillis(60);

  /** Part of the objective for which a job that was never received waits for an owner. */
  private static final double PATIENCE_WITHOUT_OWNER = 0.5;

  /** A job that may have started is of use until three times its objective. */
  private static final double USEFUL_OBJECTIVES = 3;

  /** Takeovers last about this long. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final TimerService timer;
  private final ShardSeat seat;
  private final Submission submission;
  private final Consumer<JobAnswer> callback;
  private final long startedNanos;
  private final Duration objective;
  private boolean mayHaveBeenReceived;

  SubmissionRelay(
      TimerService timer, ShardSeat seat, Submission submission, Consumer<JobAnswer> callback) {
    this.timer = timer;
    this.seat = seat;
    this.submission = submission;
    this.callback = callback;
    this.startedNanos = timer.nanoTime();
    this.objective = Objective.of(submission.queue(), submission.spec());
  }

  void start() {
    Optional<JobService> owner = seat.jobs();
    if (owner.isEmpty()) {
      tryAgain(new JobAnswer.Refused(ErrorKind.NOT_READY, RETRY_AFTER));
      return;
    }
    owner
        .get()
        .submit(
            submission,
            answer -> {
              if (OwnerFailures.isOne(answer)) {
                seat.suspectOwner();
                mayHaveBeenReceived |= answer instanceof JobAnswer.Unresolved;
                tryAgain(answer);
              } else {
                finish(answer);
              }
            });
  }

  private void tryAgain(JobAnswer last) {
    double patience = mayHaveBeenReceived ? USEFUL_OBJECTIVES : PATIENCE_WITHOUT_OWNER;
    long spentNanos = timer.nanoTime() - startedNanos;
    if (spentNanos + PAUSE.toNanos() < objective.toNanos() * patience) {
      timer.after(PAUSE, this::start);
    } else {
      finish(last);
    }
  }

  /** An owner that refuses a job does not know whether an earlier one has started it. */
  private void finish(JobAnswer answer) {
    callback.accept(
        mayHaveBeenReceived && answer instanceof JobAnswer.Refused
            ? new JobAnswer.Unresolved(ErrorKind.OWNER_LOST)
            : answer);
  }
}
