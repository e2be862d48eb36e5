package org.lovagerack.dispatch;

/** A submitted task. */
public interface TaskHandle {

  /**
   * Cancels the task. A queued task is never started and fails as "not run"; the answer of one in
   * flight is no longer awaited and it fails as "may have run". Does nothing after the outcome.
   */
  void cancel();
}
