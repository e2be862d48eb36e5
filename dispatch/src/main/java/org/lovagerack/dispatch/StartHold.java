package org.lovagerack.dispatch;

/** Suspends the start of attempts after a process pause, while local state may be stale. */
final class StartHold {

  private final AlarmQueue alarms;
  private long untilNanos;
  private boolean held;

  StartHold(AlarmQueue alarms) {
    this.alarms = alarms;
  }

  /** Suspends starts until the given time; extends a hold that is active, never shortens it. */
  void holdUntil(long nanos) {
    untilNanos = held ? Math.max(untilNanos, nanos) : nanos;
    held = true;
  }

  void release() {
    held = false;
  }

  boolean active() {
    if (held && alarms.now() >= untilNanos) {
      held = false;
    }
    return held;
  }
}
