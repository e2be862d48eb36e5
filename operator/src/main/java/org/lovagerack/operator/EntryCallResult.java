package org.lovagerack.operator;

/** The result of a call to one entry VM. */
sealed interface EntryCallResult {

  /**
   * The entry VM answered.
   *
   * @param status HTTP status
   * @param body response body
   */
  record Answered(int status, String body) implements EntryCallResult {}

  /**
   * The connection failed, so nothing was sent.
   *
   * @param reason cause of the failure
   */
  record NotSent(String reason) implements EntryCallResult {}

  /**
   * The call may have been received, but no complete answer arrived.
   *
   * @param reason cause of the failure
   */
  record Lost(String reason) implements EntryCallResult {}
}
