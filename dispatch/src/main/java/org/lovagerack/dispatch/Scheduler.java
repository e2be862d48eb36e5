package org.lovagerack.dispatch;

import java.util.List;

/** Assigns queued tasks of a service to upstreams with free slots. */
final class Scheduler {

  // With thousands of attempts in flight, slots are expected to become free all the time, and a
  // routing pass for each would dominate the CPU cost. An actual release triggers its own pass.
  private static final long MIN_RECHECK_NANOS = 5_000_000;

  private final AlarmQueue alarms;
  private final AttemptRunner runner;
  private final TaskLifecycle lifecycle;
  private final StartSuspension suspension;
  private final DispatchSettings settings;

  Scheduler(
      AlarmQueue alarms,
      AttemptRunner runner,
      TaskLifecycle lifecycle,
      StartSuspension suspension,
      DispatchSettings settings) {
    this.alarms = alarms;
    this.runner = runner;
    this.lifecycle = lifecycle;
    this.suspension = suspension;
    this.settings = settings;
  }

  /** Runs a routing pass for a service. */
  void route(ServiceState service) {
    if (suspension.active() || service.withdrawn() || service.queue().isEmpty()) {
      return;
    }
    startProbes(service);
    boolean allStarted = true;
    while (allStarted && service.pool().hasFree() && !service.queue().isEmpty()) {
      allStarted = startFirst(service);
    }
    startWithinEqualShare(service);
  }

  /**
   * Considers the first queued tasks in order. Each starts on the best free upstream, unless it
   * would finish sooner on a slot that is expected to become free and that no earlier task claimed.
   *
   * @return whether all tasks considered have left the queue
   */
  private boolean startFirst(ServiceState service) {
    long now = alarms.now();
    List<TaskState> window = service.queue().first(settings.lookAhead());
    ExpectedReleases.Forecast forecast = service.releases().forecast(settings.releaseWindow(), now);
    boolean allStarted = true;
    for (TaskState task : window) {
      if (finishedOrExpired(task, now)) {
        continue;
      }
      UpstreamState free = bestFree(service, task);
      if (free == null) {
        allStarted = false;
        break;
      }
      double runTimeOnFree = task.work() * free.speed().timePerUnit();
      boolean meetsDeadline = meetsDeadline(task, runTimeOnFree, now);
      if (forecast.claimIfSooner(task, runTimeOnFree, meetsDeadline)
          || shouldAwaitFaster(task, runTimeOnFree, now)) {
        allStarted = false;
      } else {
        runner.start(task, free, task.nextReason());
      }
    }
    startBeyondWindow(service, window);
    if (forecast.firstClaimedNanos() != Long.MAX_VALUE) {
      // Routes again in case the expected release does not happen.
      long due = Math.max(forecast.firstClaimedNanos() + 1, now + MIN_RECHECK_NANOS);
      lifecycle.routeBy(service, due);
    }
    return allStarted;
  }

  /**
   * Starts the last tasks of the window on free slots if the queue is longer than the window. The
   * claims within the window give no reason for the tasks behind it to wait, and under overload the
   * slow upstreams would stay idle.
   */
  private void startBeyondWindow(ServiceState service, List<TaskState> window) {
    for (int i = window.size() - 1; i >= 0; i--) {
      TaskState task = window.get(i);
      if (service.queue().size() <= settings.lookAhead() || !service.pool().hasFree()) {
        return;
      }
      if (task.queued()) {
        UpstreamState free = bestFree(service, task);
        if (meetsDeadline(task, task.work() * free.speed().timePerUnit(), alarms.now())) {
          runner.start(task, free, task.nextReason());
        }
      }
    }
  }

  /**
   * Returns whether a task would miss its deadline on the free upstream but not on the fastest one.
   * False if the run time is only declared, because that may be ten times too long.
   */
  private static boolean shouldAwaitFaster(TaskState task, double runTimeOnFree, long now) {
    long remaining = task.spec().deadlineNanos() - now;
    return runTimeOnFree > remaining
        && task.service().kind(task.spec().kind()).hasEnoughObservations()
        && task.work() * task.service().pool().fastestTimePerUnit(now) <= remaining;
  }

  /** Returns whether the task meets its deadline even if it runs slowly. */
  private static boolean meetsDeadline(TaskState task, double runNanos, long now) {
    double slowRunTime = runNanos * task.service().runTimeRatio().value();
    return slowRunTime <= task.spec().deadlineNanos() - now;
  }

  private static UpstreamState bestFree(ServiceState service, TaskState task) {
    UpstreamState other =
        service
            .pool()
            .bestFree(upstream -> upstream != task.avoided() && !task.inFlightAt(upstream));
    return other == null ? service.pool().bestFree(upstream -> true) : other;
  }

  /** Returns whether a task has left the queue; fails it first if its deadline has passed. */
  private boolean finishedOrExpired(TaskState task, long now) {
    if (!task.queued()) {
      return true;
    }
    if (task.spec().deadlineNanos() <= now) {
      lifecycle.deadlinePassed(task);
      return true;
    }
    return false;
  }

  private void startProbes(ServiceState service) {
    UpstreamState upstream = service.pool().nextProbe();
    while (upstream != null) {
      TaskState task = chooseProbeTask(service);
      if (task == null) {
        return;
      }
      upstream.health().markProbing();
      service.pool().update(upstream);
      runner.start(task, upstream, StartReason.PROBE);
      upstream = service.pool().nextProbe();
    }
  }

  /**
   * Returns the first repeatable task in the window, else the last task of the window, or null if
   * there is none before its deadline.
   */
  private TaskState chooseProbeTask(ServiceState service) {
    TaskState last = null;
    for (TaskState task : service.queue().first(settings.lookAhead())) {
      if (task.spec().deadlineNanos() <= alarms.now()) {
        continue;
      }
      if (task.spec().repeatable()) {
        return task;
      }
      last = task;
    }
    return last;
  }

  /**
   * Uses slots up to this entry VM's equal share when the load reports of the peers leave none
   * free. Otherwise an entry VM that starts during an overload would never get a slot, because its
   * peers reuse theirs at once.
   */
  private void startWithinEqualShare(ServiceState service) {
    long minWait = settings.equalShareWait().toNanos();
    while (!service.pool().hasFree() && !service.queue().isEmpty()) {
      UpstreamState upstream = service.pool().bestBelowShare();
      if (upstream == null) {
        return;
      }
      TaskState task = service.queue().first(1).get(0);
      long now = alarms.now();
      if (finishedOrExpired(task, now)) {
        continue;
      }
      if (now - task.queuedNanos() < minWait) {
        lifecycle.routeBy(service, task.queuedNanos() + minWait);
        return;
      }
      runner.start(task, upstream, task.nextReason());
    }
  }
}
