package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskOutcome;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.foundation.timer.TimerService;

/** The run of one job in its entry VM, from admission to its complete answer or failure. */
final class JobRun {

  private final PlannedJob job;
  private final String service;
  private final List<TaskRecord> records;
  private final TimerService timer;
  private final EntryPolicy policy;
  private final List<TaskHandle> handles = new ArrayList<>();
  private long receivedNanos;
  private int succeeded;
  private boolean submitting;
  private Optional<Failure> failure = Optional.empty();
  private boolean refused;
  private boolean cancelled;
  private long finishedNanos = -1;

  JobRun(
      PlannedJob job,
      String service,
      List<TaskRecord> records,
      TimerService timer,
      EntryPolicy policy) {
    this.job = job;
    this.service = service;
    this.records = records;
    this.timer = timer;
    this.policy = policy;
  }

  PlannedJob job() {
    return job;
  }

  List<TaskRecord> records() {
    return records;
  }

  boolean refused() {
    return refused;
  }

  boolean cancelled() {
    return cancelled;
  }

  boolean finished() {
    return finishedNanos >= 0;
  }

  Optional<Failure> failure() {
    return failure;
  }

  /** Returns the response time at the caller, including network latency. */
  long responseNanos() {
    return finishedNanos + Workload.CALLER_LATENCY.toNanos() - job.sentNanos();
  }

  long finishedNanos() {
    return finishedNanos;
  }

  boolean answeredOnTime() {
    return finished() && failure.isEmpty() && finishedNanos - receivedNanos <= job.deadlineNanos();
  }

  boolean deadlinePassed() {
    return failure.isEmpty()
        ? !answeredOnTime()
        : failure.get().kind() == ErrorKind.DEADLINE_EXCEEDED;
  }

  /** Processes the arrival of the job: admits it and submits its tasks. */
  void receive() {
    receivedNanos = timer.nanoTime();
    long deadline = receivedNanos + job.deadlineNanos();
    Optional<Failure> refusal = policy.admit(admissionRequest(deadline));
    if (refusal.isPresent()) {
      refused = true;
      records.forEach(record -> record.reportedNotRun = true);
      finish(refusal);
      return;
    }
    submitting = true;
    for (TaskRecord record : records) {
      if (finished()) {
        break;
      }
      handles.add(policy.submit(taskSpec(record, deadline), outcome -> onOutcome(record, outcome)));
    }
    submitting = false;
    if (finished()) {
      cancelTasks();
    }
  }

  /** Cancels the job on behalf of the caller. */
  void cancel() {
    if (!finished()) {
      cancelled = true;
      finish(Optional.of(Failure.mayHaveRun(ErrorKind.CANCELLED, "by the caller")));
      cancelTasks();
    }
  }

  private void onOutcome(TaskRecord record, TaskOutcome outcome) {
    switch (outcome) {
      case TaskOutcome.Succeeded done -> {
        succeeded++;
        if (succeeded == records.size()) {
          finish(Optional.empty());
        }
      }
      case TaskOutcome.Failed failed -> {
        record.reportedNotRun = failed.failure().outcome() == RunOutcome.NOT_RUN;
        if (!finished()) {
          finish(Optional.of(failed.failure()));
          if (!submitting) {
            cancelTasks();
          }
        }
      }
    }
  }

  private void finish(Optional<Failure> reason) {
    failure = reason;
    finishedNanos = timer.nanoTime();
  }

  /** Cancels the remaining tasks of a failed job, since a partial answer has no value. */
  private void cancelTasks() {
    handles.forEach(TaskHandle::cancel);
  }

  private AdmissionRequest admissionRequest(long deadline) {
    return new AdmissionRequest(
        service,
        job.kind().name(),
        Workload.TEAM,
        job.kind().urgent(),
        records.size(),
        job.tasks().stream().map(PlannedTask::declared).max(Comparable::compareTo).orElseThrow(),
        deadline);
  }

  private TaskSpec taskSpec(TaskRecord record, long deadline) {
    PlannedTask task = record.task;
    return new TaskSpec(
        task.key(),
        service,
        job.kind().name(),
        Workload.TEAM,
        job.kind().urgent(),
        task.repeatable(),
        task.declared(),
        deadline,
        Bytes.empty());
  }
}
