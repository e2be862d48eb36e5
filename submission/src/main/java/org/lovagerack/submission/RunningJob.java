package org.lovagerack.submission;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.timer.TimerService;

/**
 * An accepted job with unfinished tasks. The first failure of a task or a cancellation of the job
 * cancels the remaining tasks; the job finishes when the outcome of every task is known.
 */
final class RunningJob {

  private final JobRequest request;
  private final Consumer<JobStatus> onFinished;
  private final JobWaiters waiters;
  private final TaskOutcome[] outcomes;
  private final TaskHandle[] handles;
  private Optional<Failure> jobFailure = Optional.empty();
  private int unfinished;

  RunningJob(TimerService timers, JobRequest request, Consumer<JobStatus> onFinished) {
    this.waiters = new JobWaiters(timers, this::progress);
    this.request = request;
    this.onFinished = onFinished;
    this.unfinished = request.tasks().size();
    this.outcomes = new TaskOutcome[unfinished];
    this.handles = new TaskHandle[unfinished];
  }

  /**
   * Submits the tasks in order. If a task fails during this call, the later ones are not submitted.
   */
  void start(TaskDispatcher dispatcher, String keyPrefix, long deadlineNanos) {
    for (int i = 0; i < outcomes.length; i++) {
      if (jobFailure.isPresent()) {
        onOutcome(i, notSubmitted(jobFailure.get()));
        continue;
      }
      int index = i;
      handles[i] =
          dispatcher.submit(
              DispatchMapping.task(request, index, keyPrefix, deadlineNanos),
              outcome -> onOutcome(index, outcome));
      if (jobFailure.isPresent()) {
        cancelTask(i);
      }
    }
  }

  /** Returns the waiting callers; the job service passes the final status to them. */
  JobWaiters waiters() {
    return waiters;
  }

  void cancel() {
    fail(Failure.notRun(ErrorKind.CANCELLED, "the caller cancelled the job"));
  }

  JobStatus progress() {
    return new JobStatus.Running(outcomes.length - unfinished, outcomes.length);
  }

  private void onOutcome(int index, TaskOutcome outcome) {
    if (outcomes[index] != null) {
      throw new IllegalStateException("task " + index + " has two outcomes: " + outcome);
    }
    outcomes[index] = outcome;
    unfinished--;
    if (outcome instanceof TaskOutcome.Failed failed) {
      fail(withTaskIndex(index, failed.failure()));
    }
    if (unfinished == 0) {
      unfinished = -1;
      onFinished.accept(finalStatus());
    }
  }

  private void fail(Failure failure) {
    if (jobFailure.isEmpty()) {
      jobFailure = Optional.of(failure);
      for (int i = 0; i < handles.length; i++) {
        cancelTask(i);
      }
    }
  }

  private void cancelTask(int index) {
    if (handles[index] != null && outcomes[index] == null) {
      handles[index].cancel();
    }
  }

  private JobStatus finalStatus() {
    List<TaskOutcome> all = Arrays.asList(outcomes);
    if (jobFailure.isPresent()) {
      return new JobStatus.Failed(JobFailure.of(jobFailure.get(), all));
    }
    return new JobStatus.Completed(all.stream().map(RunningJob::answer).toList());
  }

  private static Bytes answer(TaskOutcome outcome) {
    return switch (outcome) {
      case TaskOutcome.Succeeded succeeded -> succeeded.body();
      case TaskOutcome.Failed failed -> throw new IllegalStateException("no answer: " + failed);
    };
  }

  private static Failure withTaskIndex(int index, Failure failure) {
    String detail = "task " + index + ": " + failure.detail();
    return new Failure(failure.kind(), failure.outcome(), detail, failure.retryAfter());
  }

  private static TaskOutcome notSubmitted(Failure reason) {
    return new TaskOutcome.Failed(
        Failure.notRun(ErrorKind.CANCELLED, "not submitted because " + reason.detail()));
  }
}
