package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;

/** How a call to a peer ended. */
public sealed interface CallOutcome {

  /**
   * The peer answered.
   *
   * @param status HTTP status that the peer would have given its own caller
   * @param body JSON body of that answer
   */
  record Answered(int status, Bytes body) implements CallOutcome {}

  /**
   * Another incarnation proved after the call was made that it has the address: the expected one is
   * permanently gone.
   *
   * @param actual incarnation of the process at the address
   */
  record WrongIncarnation(long actual) implements CallOutcome {}

  /** Nothing listens at the address: the expected process is permanently gone. */
  record ConnectionRefused() implements CallOutcome {}

  /**
   * No byte of the call was sent.
   *
   * @param reason why
   */
  record NotSent(String reason) implements CallOutcome {}

  /**
   * The call may have been received, and no answer came.
   *
   * @param reason why
   */
  record Unknown(String reason) implements CallOutcome {}
}
