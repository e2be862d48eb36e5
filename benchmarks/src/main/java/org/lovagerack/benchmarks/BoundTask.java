package org.lovagerack.benchmarks;

import java.time.Duration;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskListener;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.timer.TimerService;

/** A task of a baseline policy, which is always bound to an upstream. */
final class BoundTask implements TaskHandle {

  private final EarlyBindingDispatcher dispatcher;
  private final TimerService timer;
  private final TaskSpec spec;
  private final TaskListener listener;
  private String upstream;
  private Attempt attempt;
  private int attempts;
  private boolean finished;

  BoundTask(
      EarlyBindingDispatcher dispatcher, TimerService timer, TaskSpec spec, TaskListener listener) {
    this.dispatcher = dispatcher;
    this.timer = timer;
    this.spec = spec;
    this.listener = listener;
  }

  /** Starts the task. Keeps its deadline timer: a cancellation is linear in the timer count. */
  void start() {
    timer.after(remaining(), () -> abandon(ErrorKind.DEADLINE_EXCEEDED));
    dispatcher.startAttempt(this);
  }

  TaskSpec spec() {
    return spec;
  }

  int attempts() {
    return attempts;
  }

  int nextAttempt() {
    attempts++;
    return attempts;
  }

  Duration remaining() {
    return Duration.ofNanos(Math.max(0, spec.deadlineNanos() - timer.nanoTime()));
  }

  void attemptStarted(String address, Attempt started) {
    upstream = address;
    attempt = started;
  }

  void onResult(AttemptResult result) {
    if (result instanceof AttemptResult.Answered answered && answered.status() == 200) {
      finish(new TaskOutcome.Succeeded(answered.body()));
      return;
    }
    boolean notStarted = result instanceof AttemptResult.NotSent;
    if ((spec.repeatable() || notStarted) && dispatcher.hasAttemptsLeft(this)) {
      dispatcher.startAttempt(this);
      return;
    }
    ErrorKind kind =
        result instanceof AttemptResult.Lost
            ? ErrorKind.OUTCOME_UNKNOWN
            : ErrorKind.UPSTREAM_FAILED;
    finish(new TaskOutcome.Failed(Failure.mayHaveRun(kind, result.toString())));
  }

  @Override
  public void cancel() {
    abandon(ErrorKind.CANCELLED);
  }

  private void abandon(ErrorKind kind) {
    if (finished) {
      return;
    }
    dispatcher.attemptEnded(upstream);
    attempt.cancel();
    finish(new TaskOutcome.Failed(Failure.mayHaveRun(kind, spec.key())));
  }

  private void finish(TaskOutcome outcome) {
    finished = true;
    listener.onOutcome(outcome);
  }
}
