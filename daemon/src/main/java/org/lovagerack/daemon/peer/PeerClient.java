package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.PeerNetwork;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/**
 * Makes calls to peers. The network is set after construction, because its constructor takes the
 * handler of incoming calls, which depends on this class.
 */
public final class PeerClient {

  private PeerNetwork network;

  /** Sets the network. */
  public void connect(PeerNetwork peerNetwork) {
    network = peerNetwork;
  }

  /** Calls a peer. The callback receives exactly one outcome. */
  void call(
      String address,
      long incarnation,
      CallRequest request,
      Duration timeout,
      Consumer<CallOutcome> callback) {
    if (network == null) {
      callback.accept(new CallOutcome.NotSent("the peer network is not started"));
    } else {
      network.call(address, incarnation, request, timeout, callback);
    }
  }
}
