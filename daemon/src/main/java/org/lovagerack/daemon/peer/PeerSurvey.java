package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** Makes the same call to several entry VMs and collects the outcomes. */
public final class PeerSurvey {

  private final PeerCaller caller;

  public PeerSurvey(PeerCaller caller) {
    this.caller = caller;
  }

  /**
   * Asks every target.
   *
   * @param targets incarnations by address
   * @param request the call
   * @param timeout how long to wait for each answer
   * @param whenComplete receives the outcome of each target by address
   */
  public void ask(
      Map<String, Long> targets,
      CallRequest request,
      Duration timeout,
      Consumer<Map<String, CallOutcome>> whenComplete) {
    Map<String, CallOutcome> outcomes = new TreeMap<>();
    if (targets.isEmpty()) {
      whenComplete.accept(outcomes);
      return;
    }
    targets.forEach(
        (address, incarnation) ->
            caller.call(
                address,
                incarnation,
                request,
                timeout,
                outcome -> {
                  outcomes.put(address, outcome);
                  if (outcomes.size() == targets.size()) {
                    whenComplete.accept(outcomes);
                  }
                }));
  }
}
