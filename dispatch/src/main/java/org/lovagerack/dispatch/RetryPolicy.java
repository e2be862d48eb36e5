package org.lovagerack.dispatch;

/** Decides whether a task may be attempted again; each permitted retry consumes retry budget. */
final class RetryPolicy {

  private final AlarmQueue alarms;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  RetryPolicy(AlarmQueue alarms, DispatchSettings settings, DispatchObserver observer) {
    this.alarms = alarms;
    this.settings = settings;
    this.observer = observer;
  }

  /** Decides after an attempt that may have started the task. */
  boolean mayRetry(TaskState task) {
    return task.spec().repeatable() && withinLimits(task) && takeFromBudget(task);
  }

  /** Decides after an answer whose status means that the upstream did not start the task. */
  boolean mayRetryNotStarted(TaskState task) {
    return (task.spec().repeatable() || !task.mayHaveRun())
        && withinLimits(task)
        && takeFromBudget(task);
  }

  /**
   * Decides after an attempt that was not sent. Such attempts cost no message, so they do not
   * consume the retry budget of the service.
   */
  boolean mayRetryUnsent(TaskState task, int unsentAttempts) {
    return (task.spec().repeatable() || !task.mayHaveRun())
        && unsentAttempts <= settings.maxUnsentAttempts()
        && !task.service().withdrawn()
        && beforeDeadline(task);
  }

  private boolean withinLimits(TaskState task) {
    return beforeDeadline(task)
        && !task.service().withdrawn()
        && !task.pendingRetry()
        && task.retries() < settings.maxRetriesPerTask()
        && task.sentAttempts() < task.service().definition().maxAttempts();
  }

  private boolean beforeDeadline(TaskState task) {
    return alarms.now() < task.spec().deadlineNanos();
  }

  private boolean takeFromBudget(TaskState task) {
    boolean taken = task.service().retryBudget().tryWithdraw();
    if (!taken) {
      observer.retryBudgetExhausted(task.service().name());
    }
    return taken;
  }
}
