package org.lovagerack.foundation.error;

/** What is known about the execution of a task or of a whole submission. */
public enum RunOutcome {
  /** No task was started, and none will be under this submission identifier. */
  NOT_RUN("not-run"),
  /** A task may have been started; it cannot be determined whether it was. */
  MAY_HAVE_RUN("may-have-run"),
  /** The tasks were run to completion. */
  RAN("ran");

  private final String wireName;

  RunOutcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in responses. */
  public String wireName() {
    return wireName;
  }
}
