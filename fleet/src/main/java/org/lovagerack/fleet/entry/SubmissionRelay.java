package org.lovagerack.fleet.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Forwards one submission to the owner of its shard, and to the next owner if the first one fails
 * or is replaced. Repeating a submission is safe because owners identify a job by its identifier.
 * The relay stops retrying when the job would end too late to be useful to the client.
 */
final class SubmissionRelay {

  /** Interval between attempts; a takeover from an ended process takes about twice as long. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(60);

  /**
   * Limit for a takeover. A takeover from an unresponsive owner takes about a second: two probes,
   * the lease, and the reads of the next owner. Without an owner after this time, none is expected
   * soon.
   */
  private static final Duration MAX_TAKEOVER_TIME = Duration.ofMillis(1500);

  private static final EventLog LOG = new EventLog(SubmissionRelay.class);

  private final TimerService timer;
  private final ShardOwnerTracker home;
  private final IntFunction<ShardOwnerTracker> shards;
  private final Consumer<JobAnswer> callback;
  private final Submission original;
  private final long startedNanos;
  private final Duration objective;
  private Submission submission;

  /** Shard to which the job is submitted; differs from {@code home} after a redirection. */
  private ShardOwnerTracker target;

  /** Owner that may have received the job, because it has not refused it. */
  private Optional<JobService> lastOwner = Optional.empty();

  private int attempt;
  private boolean finished;

  /**
   * Creates a relay that does nothing until {@link #start}.
   *
   * @param home the job's shard
   * @param shards returns the shard with an index
   * @param redirectable whether the owner may redirect the job to another shard
   */
  SubmissionRelay(
      TimerService timer,
      ShardOwnerTracker home,
      IntFunction<ShardOwnerTracker> shards,
      Submission submission,
      boolean redirectable,
      Consumer<JobAnswer> callback) {
    this.timer = timer;
    this.home = home;
    this.target = home;
    this.shards = shards;
    this.original = submission;
    this.submission = submission.withRedirectable(redirectable && !submission.repeated());
    this.callback = callback;
    this.startedNanos = timer.nanoTime();
    this.objective = Objective.of(submission.queue(), submission.spec());
  }

  /** Registers the relay and makes the first attempt. */
  void start() {
    home.addRelay(this);
    send();
  }

  /** Abandons the job at the former owner and sends it to the new one, if there is one. */
  void ownerReplaced(ShardOwnerTracker shard) {
    if (finished || shard != target) {
      return;
    }
    attempt++;
    if (lastOwner.isPresent()) {
      // The job must not run at both owners. An unreachable owner ends it without this call.
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

  /** Makes no further attempt, because the client has disconnected. */
  void abandon() {
    leave();
    lastOwner.ifPresent(owner -> owner.abandon(submission));
  }

  private void send() {
    if (finished) {
      return;
    }
    Optional<JobService> owner = target == home ? home.jobs() : target.shardJobs();
    if (owner.isEmpty() || (target.ownerUnresponsive() && !submission.repeated())) {
      retryOrFinish(OwnerFailures.NO_OWNER);
      return;
    }
    lastOwner = owner;
    int sentAttempt = attempt;
    owner.get().submit(submission, answer -> receive(sentAttempt, answer));
  }

  private void receive(int sentAttempt, JobAnswer answer) {
    boolean definite = answer instanceof JobAnswer.State || answer instanceof JobAnswer.Accepted;
    if (finished || (sentAttempt != attempt && !definite)) {
      return;
    }
    if (answer instanceof JobAnswer.Redirected redirected) {
      redirect(shards.apply(redirected.shard()));
    } else if (target != home && !submission.repeated() && wasNotReceived(answer)) {
      redirect(home);
    } else if (answer instanceof JobAnswer.HandedBack handedBack) {
      submission = submission.continuing(handedBack.handback());
      target.suspectOwner();
      retryOrFinish(new JobAnswer.Unresolved(ErrorKind.OWNER_LOST));
    } else if (OwnerFailures.isOwnerFailure(answer)) {
      if (answer instanceof JobAnswer.Unresolved) {
        submission = submission.asRepeated();
      } else {
        lastOwner = Optional.empty();
      }
      target.suspectOwner();
      retryOrFinish(answer);
    } else {
      finish(answer);
    }
  }

  /**
   * Sends the job to another shard. Nothing of it can have run so far. A job returns to its home
   * shard only once, and stays there.
   */
  private void redirect(ShardOwnerTracker shard) {
    if (target != home) {
      target.removeRelay(this);
    }
    attempt++;
    lastOwner = Optional.empty();
    submission = submission.withRedirectable(false);
    target = shard.acceptsRedirectedJobs() ? shard : home;
    if (target != home) {
      target.addRelay(this);
    }
    send();
  }

  private static boolean wasNotReceived(JobAnswer answer) {
    return answer instanceof JobAnswer.Refused && OwnerFailures.isOwnerFailure(answer);
  }

  private void leave() {
    finished = true;
    home.removeRelay(this);
    target.removeRelay(this);
  }

  private void retryOrFinish(JobAnswer lastAnswer) {
    Duration maxRetryTime = maxRetryTime();
    long elapsedNanos = timer.nanoTime() - startedNanos;
    if (elapsedNanos + RETRY_INTERVAL.toNanos() < maxRetryTime.toNanos()) {
      int scheduledAttempt = attempt;
      timer.after(
          RETRY_INTERVAL,
          () -> {
            if (scheduledAttempt == attempt) {
              send();
            }
          });
    } else {
      finish(lastAnswer instanceof JobAnswer.Refused ? OwnerFailures.NO_OWNER : lastAnswer);
    }
  }

  /** Returns the time since the arrival of the job within which it is sent again. */
  private Duration maxRetryTime() {
    if (submission.repeated()) {
      return Objective.usefulTime(objective);
    }
    Duration maxStartDelay = Objective.maxStartDelay(objective, submission.spec());
    return maxStartDelay.compareTo(MAX_TAKEOVER_TIME) < 0 ? maxStartDelay : MAX_TAKEOVER_TIME;
  }

  /**
   * Passes the final answer to the client. A refusal of a repeated job becomes an unknown outcome,
   * because a former owner may have started the job.
   */
  private void finish(JobAnswer answer) {
    leave();
    if (answer instanceof JobAnswer.Unresolved) {
      // The client may submit the job again, to another owner. It must not continue to run at
      // this one.
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
