package org.lovagerack.dispatch;

/** A submitted task. */
public interface TaskHandle {

  /**
   * Cancels the task. A task that was never started fails with the outcome "not run"; a task in
   * flight fails with "may have run", and its attempts are cancelled. Has no effect once the
   * outcome was reported.
   */
  void cancel();
}
