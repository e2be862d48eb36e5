package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** Makes the same call to several entry VMs and collects the outcomes. */
public final class PeerBroadcast {

  private final PeerClient peerClient;

  public PeerBroadcast(PeerClient peerClient) {
    this.peerClient = peerClient;
  }

  /**
   * Calls every target.
   *
   * @param targets incarnations of the targets, by address
   * @param request the call
   * @param timeout maximum time to wait for each answer
   * @param onComplete receives the outcomes by address, once all are known
   */
  public void callAll(
      Map<String, Long> targets,
      CallRequest request,
      Duration timeout,
      Consumer<Map<String, CallOutcome>> onComplete) {
    Map<String, CallOutcome> outcomes = new TreeMap<>();
    if (targets.isEmpty()) {
      onComplete.accept(outcomes);
      return;
    }
    targets.forEach(
        (address, incarnation) ->
            peerClient.call(
                address,
                incarnation,
                request,
                timeout,
                outcome -> {
                  outcomes.put(address, outcome);
                  if (outcomes.size() == targets.size()) {
                    onComplete.accept(outcomes);
                  }
                }));
  }
}
