package org.lovagerack.dispatch;

/** Watches the age of attempts: hedges slow ones, reports overdue ones, gives up the longest. */
final class AttemptChecks {

  private static final long LEAST_HEDGE_RECHECK_NANOS = 5_000_000;

  private final AlarmQueue alarms;
  private final Turn turn;
  private final DispatchSettings settings;
  private final StartHold hold;
  private final AttemptRunner runner;

  AttemptChecks(
      AlarmQueue alarms,
      Turn turn,
      DispatchSettings settings,
      StartHold hold,
      AttemptRunner runner) {
    this.alarms = alarms;
    this.turn = turn;
    this.settings = settings;
    this.hold = hold;
    this.runner = runner;
  }

  void schedule(AttemptState attempt) {
    long due = Math.min(giveUpNanos(attempt), Math.min(overdueNanos(attempt), hedgeNanos(attempt)));
    attempt.setCheck(alarms.at(due, () -> turn.run(() -> check(attempt))));
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
    if (task.inFlight().size() > 1
        || task.queued()
        || task.sentAttempts() >= service.definition().maxAttempts()) {
      attempt.stopHedging();
      return;
    }
    UpstreamState idle = null;
    if (!hold.active() && service.queue().isEmpty()) {
      idle = service.pool().bestFree(upstream -> !task.inFlightAt(upstream));
    }
    if (idle != null && service.hedgeBudget().take()) {
      attempt.stopHedging();
      runner.start(task, idle, StartReason.HEDGE);
    } else {
      long wait = Math.max(LEAST_HEDGE_RECHECK_NANOS, (long) attempt.expectedNanos() / 4);
      attempt.postponeHedge(alarms.now() + wait);
    }
  }

  private static long giveUpNanos(AttemptState attempt) {
    return attempt.startedNanos() + attempt.task().service().definition().maxRunTime().toNanos();
  }

  private long overdueNanos(AttemptState attempt) {
    if (attempt.overdue() || !learned(attempt)) {
      return Long.MAX_VALUE;
    }
    double factor = settings.overdueFactor() * attempt.expectedNanos();
    return attempt.startedNanos() + Math.max(settings.overdueMinimum().toNanos(), (long) factor);
  }

  private static long hedgeNanos(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    if (!attempt.task().spec().repeatable()
        || !attempt.mayHedge()
        || service.hedgeShare() <= 0
        || !learned(attempt)) {
      return Long.MAX_VALUE;
    }
    long quantile =
        attempt.startedNanos() + (long) (attempt.expectedNanos() * service.slowness().ratio());
    return Math.max(quantile, attempt.hedgePostponedNanos());
  }

  // Until the run time of the kind is learned, the expected run time is a declared one, which may
  // be ten times too short.
  private static boolean learned(AttemptState attempt) {
    return attempt.learned();
  }
}
