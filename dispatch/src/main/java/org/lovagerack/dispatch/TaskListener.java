package org.lovagerack.dispatch;

/** Receives the outcome of a task. */
public interface TaskListener {

  /** Called exactly once for each submitted task, on the event loop. */
  void onOutcome(TaskOutcome outcome);
}
