package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;

/** Sends the answer to a call from a peer. Must be called at most once, on the event loop. */
@FunctionalInterface
public interface CallReply {

  /**
   * Sends the answer, or does nothing if the connection is closed.
   *
   * @param status HTTP status
   * @param body JSON body
   * @throws IllegalStateException if the call was already answered
   * @throws IllegalArgumentException if the answer exceeds the frame limit
   */
  void answer(int status, Bytes body);
}
