package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;

/** Sends the answer to a call of a peer; call it once, on the event loop. */
@FunctionalInterface
public interface CallReply {

  /**
   * Sends the answer, or does nothing if the connection is gone.
   *
   * @param status HTTP status
   * @param body JSON body
   * @throws IllegalStateException if the call was answered before
   * @throws IllegalArgumentException if the answer is over the frame limit
   */
  void answer(int status, Bytes body);
}
