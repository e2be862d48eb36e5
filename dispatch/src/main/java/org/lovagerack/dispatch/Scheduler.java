package org.lovagerack.dispatch;

import java.util.List;

/** Binds queued tasks of a service to upstreams with free slots. */
final class Scheduler {

  // With thousands of attempts in flight a release is expected at any time, and a pass for each
  // would dominate the cost. A release that does come causes a pass of its own.
  private static final long LEAST_RECHECK_NANOS = 5_000_000;

  private final AlarmQueue alarms;
  private final AttemptRunner runner;
  private final TaskLifecycle lifecycle;
  private final StartHold hold;
  private final DispatchSettings settings;

  Scheduler(
      AlarmQueue alarms,
      AttemptRunner runner,
      TaskLifecycle lifecycle,
      StartHold hold,
      DispatchSettings settings) {
    this.alarms = alarms;
    this.runner = runner;
    this.lifecycle = lifecycle;
    this.hold = hold;
    this.settings = settings;
  }

  void route(ServiceState service) {
    if (hold.active() || service.withdrawn() || service.queue().isEmpty()) {
      return;
    }
    probe(service);
    boolean all = true;
    while (all && service.pool().hasFree() && !service.queue().isEmpty()) {
      all = startFirst(service);
    }
    useGuarantee(service);
  }

  /**
   * Considers the first queued tasks in order. Each takes the best free upstream, unless it would
   * finish sooner on a slot that is expected to become free and that no earlier task claims.
   *
   * @return whether every task that was considered left the queue
   */
  private boolean startFirst(ServiceState service) {
    long now = alarms.now();
    List<TaskState> window = service.queue().first(settings.lookAhead());
    ExpectedReleases.Forecast forecast = service.releases().forecast(settings.releaseWindow(), now);
    boolean all = true;
    for (TaskState task : window) {
      if (expired(task, now)) {
        continue;
      }
      UpstreamState free = bestFree(service, task);
      if (free == null) {
        all = false;
        break;
      }
      double onFree = task.work() * free.speed().timePerUnit();
      boolean inTime = inTime(task, onFree, now);
      if (forecast.claimIfSooner(task, onFree, inTime) || shouldAwaitFaster(task, onFree, now)) {
        all = false;
      } else {
        runner.start(task, free, task.nextReason());
      }
    }
    startBeyondWindow(service, window);
    if (forecast.firstClaimedNanos() != Long.MAX_VALUE) {
      // Decides again if the expected release does not come.
      long due = Math.max(forecast.firstClaimedNanos() + 1, now + LEAST_RECHECK_NANOS);
      lifecycle.routeSoon(service, due);
    }
    return all;
  }

  /**
   * Uses free slots for the last tasks of the window if more tasks wait behind it. The claims of
   * the window do not say that the tasks behind it are better off waiting, and under overload the
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
        if (inTime(task, task.work() * free.speed().timePerUnit(), alarms.now())) {
          runner.start(task, free, task.nextReason());
        }
      }
    }
  }

  /**
   * Returns whether a task would miss its deadline on a free upstream but not on the fastest. A
   * declared run time, which may be ten times too long, is no reason to wait.
   */
  private static boolean shouldAwaitFaster(TaskState task, double onFree, long now) {
    long remaining = task.spec().deadlineNanos() - now;
    return onFree > remaining
        && task.service().kind(task.spec().kind()).learned()
        && task.work() * task.service().pool().fastestTimePerUnit(now) <= remaining;
  }

  /** Returns whether even a slow run of the task meets its deadline. */
  private static boolean inTime(TaskState task, double runNanos, long now) {
    double slowRun = runNanos * task.service().slowness().ratio();
    return slowRun <= task.spec().deadlineNanos() - now;
  }

  private static UpstreamState bestFree(ServiceState service, TaskState task) {
    UpstreamState other =
        service
            .pool()
            .bestFree(upstream -> upstream != task.avoided() && !task.inFlightAt(upstream));
    return other == null ? service.pool().bestFree(upstream -> true) : other;
  }

  private boolean expired(TaskState task, long now) {
    if (!task.queued()) {
      return true;
    }
    if (task.spec().deadlineNanos() <= now) {
      lifecycle.deadlinePassed(task);
      return true;
    }
    return false;
  }

  private void probe(ServiceState service) {
    UpstreamState upstream = service.pool().nextProbe();
    while (upstream != null) {
      TaskState task = probeTask(service);
      if (task == null) {
        return;
      }
      upstream.health().probing();
      service.pool().update(upstream);
      runner.start(task, upstream, StartReason.PROBE);
      upstream = service.pool().nextProbe();
    }
  }

  /** Returns the first repeatable task, otherwise the one that would wait longest, or null. */
  private TaskState probeTask(ServiceState service) {
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
   * Uses this entry VM's equal share of the slots when the peers' reports leave none. Otherwise an
   * entry VM that starts under overload would never get a slot, because its peers reuse theirs.
   */
  private void useGuarantee(ServiceState service) {
    long guarantee = settings.guaranteeWait().toNanos();
    while (!service.pool().hasFree() && !service.queue().isEmpty()) {
      UpstreamState upstream = service.pool().bestBelowShare();
      if (upstream == null) {
        return;
      }
      TaskState task = service.queue().first(1).get(0);
      long now = alarms.now();
      if (expired(task, now)) {
        continue;
      }
      if (now - task.queuedNanos() < guarantee) {
        lifecycle.routeSoon(service, task.queuedNanos() + guarantee);
        return;
      }
      runner.start(task, upstream, task.nextReason());
    }
  }
}
