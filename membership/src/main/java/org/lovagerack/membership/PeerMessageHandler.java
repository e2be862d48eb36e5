package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** Receives the messages of authenticated peers, on the event loop. */
public interface PeerMessageHandler {

  /**
   * Handles a call from a peer. The reply may be sent later; without one the call times out at the
   * caller.
   *
   * @param request the call
   * @param reply sends the answer
   */
  void onCall(CallRequest request, CallReply reply);

  /**
   * A peer of the own failure domain has applied a release note.
   *
   * @param revision revision after the note is applied
   * @param note the note as pushed
   */
  void onNotePush(long revision, Bytes note);
}
