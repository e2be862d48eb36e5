package org.lovagerack.dispatch;

/** Whether starts wait because the process was paused and its view may be out of date. */
final class StartHold {

  private final AlarmQueue alarms;
  private long untilNanos;
  private boolean held;

  StartHold(AlarmQueue alarms) {
    this.alarms = alarms;
  }

  /** Holds starts until a point in time; an earlier end of a running hold is moved. */
  void until(long nanos) {
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
