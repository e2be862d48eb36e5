package org.lovagerack.dispatch;

/** Why an attempt was started. */
public enum StartReason {
  /** First attempt of a task, or an attempt after one that was not sent. */
  FIRST,
  /** Attempt that replaces a failed one or one that is presumed lost. */
  RETRY,
  /** Second attempt that runs concurrently with a slow one. */
  HEDGE,
  /** Attempt that tests an ejected upstream. */
  PROBE
}
