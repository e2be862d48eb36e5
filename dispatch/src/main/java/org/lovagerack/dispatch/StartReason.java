package org.lovagerack.dispatch;

/** Why an attempt was started. */
public enum StartReason {
  /** First attempt of a task, or an attempt after one that was not sent. */
  FIRST,
  /** Another attempt after a failed or overdue one. */
  RETRY,
  /** Second attempt beside a slow one. */
  HEDGE,
  /** Attempt that tests an ejected upstream. */
  PROBE
}
