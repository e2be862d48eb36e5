package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Passes one submission to the owner of its shard, and again to the next owner if the first one
 * fails or is replaced. A submission may be repeated because owners know a job by its identifier;
 * it is given up when the job could no longer be of use.
 */
final class SubmissionRelay {

  /**
   * Pause before the next attempt; a takeover from a process that is gone takes about twice this.
   */
  private static final Duration PAUSE = Duration.ofMillis(60);

  /**
   * Taking a shard from a silent owner lasts for two probes, the lease and the reads of the next
   * owner, about a second; without an owner after this time, none is on the way.
   */
  private static final Duration LONGEST_TAKEOVER = Duration.ofMillis(1500);

  private static final EventLog LOG = new EventLog(SubmissionRelay.class);

  private final TimerService timer;
  private final ShardSeat seat;
  private final Consumer<JobAnswer> callback;
  private final Submission original;
  private final long startedNanos;
  private final Duration objective;
  private Submission submission;

  /** The owner that may have the job, after an attempt that it has not refused. */
  private Optional<JobService> lastOwner = Optional.empty();

  private int attempt;
  private boolean finished;

  SubmissionRelay(
      TimerService timer, ShardSeat seat, Submission submission, Consumer<JobAnswer> callback) {
    this.timer = timer;
    this.seat = seat;
    this.original = submission;
    this.submission = submission;
    this.callback = callback;
    this.startedNanos = timer.nanoTime();
    this.objective = Objective.of(submission.queue(), submission.spec());
  }

  /** Makes the first attempt. */
  void start() {
    seat.addRelay(this);
    send();
  }

  /** Another owner serves the shard now, or none. */
  void ownerReplaced() {
    if (finished) {
      return;
    }
    attempt++;
    if (lastOwner.isPresent()) {
      // The job must not go on there as well; an owner that hears nothing ends it by itself.
      lastOwner.get().abandon(submission);
      lastOwner = Optional.empty();
      submission = submission.asRepeated();
    }
    send();
  }

  /** Returns whether the relay was created for a submission. */
  boolean isFor(Submission other) {
    return original.equals(other);
  }

  /** Makes no further attempt, because the client is gone. */
  void abandon() {
    finished = true;
    seat.removeRelay(this);
    lastOwner.ifPresent(owner -> owner.abandon(submission));
  }

  private void send() {
    if (finished) {
      return;
    }
    Optional<JobService> owner = seat.jobs();
    if (owner.isEmpty() || (seat.ownerSilent() && !submission.repeated())) {
      tryAgain(OwnerFailures.NO_OWNER);
      return;
    }
    lastOwner = owner;
    int sentAs = attempt;
    owner.get().submit(submission, answer -> receive(sentAs, answer));
  }

  private void receive(int sentAs, JobAnswer answer) {
    boolean certain = answer instanceof JobAnswer.State || answer instanceof JobAnswer.Accepted;
    if (finished || (sentAs != attempt && !certain)) {
      return;
    }
    if (OwnerFailures.isOne(answer)) {
      if (answer instanceof JobAnswer.Unresolved) {
        submission = submission.asRepeated();
      } else {
        lastOwner = Optional.empty();
      }
      seat.suspectOwner();
      tryAgain(answer);
    } else {
      finish(answer);
    }
  }

  private void tryAgain(JobAnswer last) {
    Duration patience = patience();
    long spentNanos = timer.nanoTime() - startedNanos;
    if (spentNanos + PAUSE.toNanos() < patience.toNanos()) {
      int waitingAs = attempt;
      timer.after(
          PAUSE,
          () -> {
            if (waitingAs == attempt) {
              send();
            }
          });
    } else {
      finish(last instanceof JobAnswer.Refused ? OwnerFailures.NO_OWNER : last);
    }
  }

  /** Returns how long after its arrival the job is still worth another attempt. */
  private Duration patience() {
    if (submission.repeated()) {
      return Objective.useful(objective);
    }
    Duration ofUse = Objective.timeToStart(objective, submission.spec());
    return ofUse.compareTo(LONGEST_TAKEOVER) < 0 ? ofUse : LONGEST_TAKEOVER;
  }

  /** An owner that refuses a job does not know whether an earlier one has started it. */
  private void finish(JobAnswer answer) {
    finished = true;
    seat.removeRelay(this);
    if (answer instanceof JobAnswer.Unresolved) {
      // The client may submit the job again, to another owner, which must not find it at work here.
      lastOwner.ifPresent(owner -> owner.abandon(submission));
    }
    if (answer.equals(OwnerFailures.NO_OWNER)) {
      LOG.write(
          LogEvent.JOB_REFUSED,
          "job",
          submission.jobId(),
          "queue",
          submission.queue().name(),
          "kind",
          ErrorKind.NOT_READY,
          "reason",
          "no owner took the job",
          "after",
          Duration.ofNanos(timer.nanoTime() - startedNanos),
          "attempts",
          attempt + 1);
    }
    callback.accept(
        submission.repeated() && answer instanceof JobAnswer.Refused
            ? new JobAnswer.Unresolved(ErrorKind.OWNER_LOST)
            : answer);
  }
}
