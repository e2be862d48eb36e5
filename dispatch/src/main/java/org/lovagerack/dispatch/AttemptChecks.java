package org.lovagerack.dispatch;

import java.util.stream.LongStream;

/**
 * Checks the age of attempts: hedges slow ones, reports overdue ones and gives up those that exceed
 * the maximum run time of their service.
 */
final class AttemptChecks {

  // Multiple of the age at which hedging starts. Where run times vary widely, three times the
  // expected run time is common, and counting that as a failure ejects healthy upstreams.
  private static final double PRESUMED_LOST_FACTOR = 2;
  private static final long MIN_HEDGE_RECHECK_NANOS = 5_000_000;

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final DispatchSettings settings;
  private final StartSuspension suspension;
  private final AttemptRunner runner;

  AttemptChecks(
      AlarmQueue alarms,
      RoutingBatch routing,
      DispatchSettings settings,
      StartSuspension suspension,
      AttemptRunner runner) {
    this.alarms = alarms;
    this.routing = routing;
    this.settings = settings;
    this.suspension = suspension;
    this.runner = runner;
  }

  void schedule(AttemptState attempt) {
    long due =
        LongStream.of(
                giveUpNanos(attempt),
                overdueNanos(attempt),
                presumedLostNanos(attempt),
                hedgeNanos(attempt))
            .min()
            .orElseThrow();
    attempt.setCheck(alarms.at(due, () -> routing.run(() -> check(attempt))));
  }

  private void check(AttemptState attempt) {
    long now = alarms.now();
    if (now >= giveUpNanos(attempt)) {
      runner.giveUp(attempt);
      return;
    }
    if (now >= overdueNanos(attempt)) {
      runner.onOverdue(attempt);
    }
    if (now >= presumedLostNanos(attempt)) {
      runner.onPresumedLost(attempt);
    }
    if (!attempt.done() && now >= hedgeNanos(attempt)) {
      hedge(attempt);
    }
    if (!attempt.done()) {
      schedule(attempt);
    }
  }

  private void hedge(AttemptState attempt) {
    TaskState task = attempt.task();
    ServiceState service = task.service();
    // After a process pause, this check can run before the deadline alarm of the task.
    if (task.spec().deadlineNanos() <= alarms.now()
        || task.inFlight().size() > 1
        || task.queued()
        || task.sentAttempts() >= service.definition().maxAttempts()) {
      attempt.stopHedging();
      return;
    }
    UpstreamState idle = null;
    if (!suspension.active() && service.queue().isEmpty()) {
      idle = service.pool().bestFree(upstream -> !task.inFlightAt(upstream));
    }
    if (idle != null && service.hedgeBudget().tryWithdraw()) {
      attempt.stopHedging();
      runner.start(task, idle, StartReason.HEDGE);
    } else {
      long wait = Math.max(MIN_HEDGE_RECHECK_NANOS, (long) attempt.expectedNanos() / 4);
      attempt.postponeHedge(alarms.now() + wait);
    }
  }

  private static long giveUpNanos(AttemptState attempt) {
    return attempt.startedNanos() + attempt.task().service().definition().maxRunTime().toNanos();
  }

  private long overdueNanos(AttemptState attempt) {
    return attempt.overdue() || !attempt.expectationMeasured()
        ? Long.MAX_VALUE
        : attempt.startedNanos() + overdueAge(attempt);
  }

  private long presumedLostNanos(AttemptState attempt) {
    if (attempt.presumedLost() || !attempt.expectationMeasured()) {
      return Long.MAX_VALUE;
    }
    double lostAge =
        PRESUMED_LOST_FACTOR
            * attempt.task().service().runTimeRatio().value()
            * attempt.expectedNanos();
    return attempt.startedNanos() + Math.max(overdueAge(attempt), (long) lostAge);
  }

  private long overdueAge(AttemptState attempt) {
    double age = settings.overdueFactor() * attempt.expectedNanos();
    return Math.max(settings.overdueMinimum().toNanos(), (long) age);
  }

  private static long hedgeNanos(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    if (!attempt.task().spec().repeatable()
        || !attempt.mayHedge()
        || service.hedgeShare() <= 0
        || !attempt.expectationMeasured()) {
      return Long.MAX_VALUE;
    }
    long slowNanos =
        attempt.startedNanos() + (long) (attempt.expectedNanos() * service.runTimeRatio().value());
    return Math.max(slowNanos, attempt.hedgePostponedNanos());
  }
}
