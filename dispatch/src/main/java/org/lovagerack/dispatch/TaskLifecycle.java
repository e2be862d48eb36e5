package org.lovagerack.dispatch;

import java.util.List;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Moves tasks between the queue, a backoff and their outcome; each task is finished once. */
final class TaskLifecycle {

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final InFlightAttempts attempts;
  private final TeamQuotas quotas;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  TaskLifecycle(
      AlarmQueue alarms,
      RoutingBatch routing,
      InFlightAttempts attempts,
      TeamQuotas quotas,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.routing = routing;
    this.attempts = attempts;
    this.quotas = quotas;
    this.settings = settings;
    this.observer = observer;
  }

  /** Queues a new task and schedules routing for after the caller has submitted the whole job. */
  void accept(TaskState task) {
    quotas.taskEntered(task.spec().team(), alarms.now());
    long deadline = task.spec().deadlineNanos();
    if (deadline <= alarms.now()) {
      deadlinePassed(task);
      return;
    }
    task.setDeadlineAlarm(alarms.at(deadline, () -> routing.run(() -> deadlinePassed(task))));
    task.service().queue().add(task, alarms.now());
    routeBy(task.service(), alarms.now());
  }

  /** Schedules routing of a service no later than the given time. */
  void routeBy(ServiceState service, long dueNanos) {
    if (service.routingAlarm() != null) {
      if (service.routingAlarmNanos() <= dueNanos) {
        return;
      }
      alarms.cancel(service.routingAlarm());
    }
    service.setRoutingAlarm(
        alarms.at(
            dueNanos,
            () -> {
              service.setRoutingAlarm(null, 0);
              routing.run(() -> routing.markChanged(service));
            }),
        dueNanos);
  }

  /** Returns a task to the queue, or fails it if its service was withdrawn. */
  void requeue(TaskState task) {
    task.setDelayAlarm(null);
    if (task.service().withdrawn()) {
      failWithdrawn(task);
      return;
    }
    task.service().queue().add(task, alarms.now());
    routing.markChanged(task.service());
  }

  /** Requeues a task after an unsent attempt, with a backoff from the second such attempt on. */
  void requeueUnsent(TaskState task, int unsentAttempts) {
    if (unsentAttempts == 1) {
      requeue(task);
      return;
    }
    long delay = settings.unsentDelay().toNanos() << Math.min(unsentAttempts - 2, 10);
    task.setDelayAlarm(alarms.at(alarms.now() + delay, () -> routing.run(() -> requeue(task))));
  }

  void succeed(TaskState task, Bytes body) {
    finish(task, new TaskOutcome.Succeeded(body));
  }

  /** Fails a task whose service is no longer part of the deployment. */
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
    if (hasOverdueAttempt(task)) {
      fail(task, ErrorKind.OUTCOME_UNKNOWN, "no answer to task " + key + " by its deadline");
    } else {
      fail(task, ErrorKind.DEADLINE_EXCEEDED, "the deadline of task " + key + " passed");
    }
  }

  /** Returns whether a task that must not be repeated has an overdue attempt. */
  private static boolean hasOverdueAttempt(TaskState task) {
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
