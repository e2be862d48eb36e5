package org.lovagerack.dispatch;

import org.lovagerack.foundation.data.Bytes;

/** How an attempt ended, as seen by the transport. */
public sealed interface AttemptResult {

  /**
   * The upstream answered.
   *
   * @param status HTTP status
   * @param body body of the answer
   * @param closing whether the upstream announced that it will close the connection
   */
  record Answered(int status, Bytes body, boolean closing) implements AttemptResult {}

  /**
   * No byte of the request left the process, for example because the connection was refused. The
   * task was not started by this attempt.
   *
   * @param reason why
   */
  record NotSent(String reason) implements AttemptResult {}

  /**
   * The request was sent, or may have been, and no complete answer was received. The task may have
   * been started.
   *
   * @param reason why
   */
  record Lost(String reason) implements AttemptResult {}
}
