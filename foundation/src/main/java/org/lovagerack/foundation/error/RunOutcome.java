package org.lovagerack.foundation.error;

/** What is known about the execution of a task or of a whole submission. */
public enum RunOutcome {
  /** No task was started, and none will be under this submission identifier. */
  NOT_RUN("not-run"),
  /** A task may have been started; whether it was cannot be known. */
  MAY_HAVE_RUN("may-have-run"),
  /** The tasks were run to their end. */
  RAN("ran");

  private final String wireName;

  RunOutcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name that answers to callers carry. */
  public String wireName() {
    return wireName;
  }
}
