package org.lovagerack.dispatch;

import java.util.List;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Moves tasks between queue, delay and outcome. Every task passes {@link #finish} exactly once. */
final class TaskLifecycle {

  private final AlarmQueue alarms;
  private final Turn turn;
  private final InFlightAttempts attempts;
  private final TeamQuotas quotas;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  TaskLifecycle(
      AlarmQueue alarms,
      Turn turn,
      InFlightAttempts attempts,
      TeamQuotas quotas,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.turn = turn;
    this.attempts = attempts;
    this.quotas = quotas;
    this.settings = settings;
    this.observer = observer;
  }

  /** Takes a new task. It is routed when the caller has submitted the rest of its job. */
  void accept(TaskState task) {
    quotas.taskEntered(task.spec().team(), alarms.now());
    long deadline = task.spec().deadlineNanos();
    if (deadline <= alarms.now()) {
      deadlinePassed(task);
      return;
    }
    task.setDeadlineAlarm(alarms.at(deadline, () -> turn.run(() -> deadlinePassed(task))));
    task.service().queue().add(task, alarms.now());
    routeSoon(task.service(), alarms.now());
  }

  /** Has a service routed no later than a point in time. */
  void routeSoon(ServiceState service, long dueNanos) {
    if (service.passAlarm() != null) {
      if (service.passAlarmNanos() <= dueNanos) {
        return;
      }
      alarms.cancel(service.passAlarm());
    }
    service.setPassAlarm(
        alarms.at(
            dueNanos,
            () -> {
              service.setPassAlarm(null, 0);
              turn.run(() -> turn.changed(service));
            }),
        dueNanos);
  }

  void requeue(TaskState task) {
    task.setDelayAlarm(null);
    if (task.service().withdrawn()) {
      failWithdrawn(task);
      return;
    }
    task.service().queue().add(task, alarms.now());
    turn.changed(task.service());
  }

  /** Returns a task to the queue after its attempt was not sent, the second time with a delay. */
  void requeueUnsent(TaskState task, int unsentAttempts) {
    if (unsentAttempts == 1) {
      requeue(task);
      return;
    }
    long delay = settings.unsentDelay().toNanos() << Math.min(unsentAttempts - 2, 10);
    task.setDelayAlarm(alarms.at(alarms.now() + delay, () -> turn.run(() -> requeue(task))));
  }

  void succeed(TaskState task, Bytes body) {
    finish(task, new TaskOutcome.Succeeded(body));
  }

  /** Fails a task of a service that is no longer in force. */
  void failWithdrawn(TaskState task) {
    fail(task, ErrorKind.UNKNOWN_SERVICE, "service " + task.spec().service() + " was withdrawn");
  }

  void fail(TaskState task, ErrorKind kind, String detail) {
    boolean contradiction = kind.guaranteesNotRun() && task.mayHaveRun();
    Failure failure = task.failure(contradiction ? ErrorKind.OUTCOME_UNKNOWN : kind, detail);
    if (failure.outcome() == RunOutcome.NOT_RUN) {
      observer.taskNotRun(task.service().name(), kind);
    }
    finish(task, new TaskOutcome.Failed(failure));
  }

  void cancel(TaskState task) {
    if (!task.finished()) {
      fail(task, ErrorKind.CANCELLED, "task " + task.spec().key() + " was cancelled");
    }
  }

  /** Fails a task whose deadline has passed. */
  void deadlinePassed(TaskState task) {
    if (task.finished()) {
      return;
    }
    String key = task.spec().key();
    if (silent(task)) {
      fail(task, ErrorKind.OUTCOME_UNKNOWN, "no answer to task " + key + " by its deadline");
    } else {
      fail(task, ErrorKind.DEADLINE_EXCEEDED, "the deadline of task " + key + " passed");
    }
  }

  private static boolean silent(TaskState task) {
    if (task.spec().repeatable()) {
      return false;
    }
    for (AttemptState attempt : task.inFlight()) {
      if (attempt.overdue()) {
        return true;
      }
    }
    return false;
  }

  private void finish(TaskState task, TaskOutcome outcome) {
    task.finish();
    alarms.cancel(task.deadlineAlarm());
    alarms.cancel(task.delayAlarm());
    task.service().queue().remove(task);
    for (AttemptState attempt : List.copyOf(task.inFlight())) {
      attempts.cancel(attempt);
    }
    quotas.taskLeft(task.spec().team());
    task.listener().onOutcome(outcome);
  }
}
