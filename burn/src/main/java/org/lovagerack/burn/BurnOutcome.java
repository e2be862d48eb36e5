package org.lovagerack.burn;

/** How a job counts against the objective of its service. Cancelled jobs are not recorded. */
public enum BurnOutcome {
  /**
   * The complete answer was ready before the deadline; the only outcome that consumes no error
   * budget.
   */
  ON_TIME("onTime", "on time"),
  /** The complete answer was ready after the deadline, or the deadline passed without an answer. */
  LATE("late", "late"),
  /** The job was refused before any task was started. */
  REFUSED("refused", "refused"),
  /** The job failed, and it is known which tasks were run. */
  FAILED("failed", "failed"),
  /** The job failed, and it is unknown whether a task was run. */
  MAY_HAVE_RUN("mayHaveRun", "may have run");

  private final String wireName;
  private final String title;

  BurnOutcome(String wireName, String title) {
    this.wireName = wireName;
    this.title = title;
  }

  /** Returns whether a job with this outcome consumes error budget. */
  public boolean bad() {
    return this != ON_TIME;
  }

  String wireName() {
    return wireName;
  }

  String title() {
    return title;
  }
}
