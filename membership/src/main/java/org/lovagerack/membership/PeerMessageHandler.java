package org.lovagerack.membership;

import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** Receives what proven peers send, on the event loop. */
public interface PeerMessageHandler {

  /**
   * A peer calls. The reply may be given later; without one the caller's call times out.
   *
   * @param request the call
   * @param reply takes the answer
   */
  void onCall(CallRequest request, CallReply reply);

  /**
   * A peer of the own failure domain has applied a release note.
   *
   * @param revision revision that the note leads to
   * @param note the note as pushed
   */
  void onNotePush(long revision, Bytes note);
}
