package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;

/** How a call to a peer ended. */
public sealed interface CallOutcome {

  /**
   * The peer answered.
   *
   * @param status HTTP status that the peer would send to a client of its own
   * @param body JSON body of that answer
   */
  record Answered(int status, Bytes body) implements CallOutcome {}

  /**
   * A different incarnation authenticated at the address after the call was made. The expected
   * process no longer exists.
   *
   * @param actual incarnation of the process at the address
   */
  record WrongIncarnation(long actual) implements CallOutcome {}

  /** Nothing listens at the address. The expected process no longer exists. */
  record ConnectionRefused() implements CallOutcome {}

  /**
   * No byte of the call was sent.
   *
   * @param reason why it was not sent
   */
  record NotSent(String reason) implements CallOutcome {}

  /**
   * The call may have been received, but no answer arrived.
   *
   * @param reason why there is no answer
   */
  record Unknown(String reason) implements CallOutcome {}
}
