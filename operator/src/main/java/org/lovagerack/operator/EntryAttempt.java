package org.lovagerack.operator;

/** How a call to one entry VM ended. */
sealed interface EntryAttempt {

  /**
   * The entry VM answered.
   *
   * @param status HTTP status
   * @param body body of the answer
   */
  record Answered(int status, String body) implements EntryAttempt {}

  /**
   * No connection was made, so nothing was sent.
   *
   * @param reason why
   */
  record NotSent(String reason) implements EntryAttempt {}

  /**
   * The call may have arrived, and its answer was lost.
   *
   * @param reason why
   */
  record Lost(String reason) implements EntryAttempt {}
}
