package org.lovagerack.dispatch;

/** Suspends the start of attempts after a process pause, while local state may be stale. */
final class StartSuspension {

  private final AlarmQueue alarms;
  private long untilNanos;
  private boolean suspended;

  StartSuspension(AlarmQueue alarms) {
    this.alarms = alarms;
  }

  /** Suspends starts until the given time; extends an active suspension, never shortens it. */
  void suspendUntil(long nanos) {
    untilNanos = suspended ? Math.max(untilNanos, nanos) : nanos;
    suspended = true;
  }

  void resume() {
    suspended = false;
  }

  boolean active() {
    if (suspended && alarms.now() >= untilNanos) {
      suspended = false;
    }
    return suspended;
  }
}
