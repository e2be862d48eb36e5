package org.lovagerack.membership;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;

/** A call to a peer, which ends with exactly one outcome. */
final class OutgoingCall {

  private final long expectedIncarnation;
  private final CallRequest request;
  private final Consumer<CallOutcome> callback;
  private final TimerSubscription timeout;
  private long firstConclusiveDial;
  private boolean sent;
  private boolean completed;

  OutgoingCall(
      TimerService timer,
      long expectedIncarnation,
      CallRequest request,
      Duration limit,
      Consumer<CallOutcome> callback) {
    this.expectedIncarnation = expectedIncarnation;
    this.request = request;
    this.callback = callback;
    this.timeout = timer.after(limit, () -> fail("no answer within " + limit));
  }

  boolean isMeantFor(long incarnation) {
    return expectedIncarnation == PeerNetwork.ANY_INCARNATION || expectedIncarnation == incarnation;
  }

  CallRequest request() {
    return request;
  }

  boolean completed() {
    return completed;
  }

  /**
   * Sets the first connection attempt whose result can prove that the expected process no longer
   * exists. An earlier attempt may have reached a predecessor of that process.
   */
  void conclusiveFrom(long dial) {
    firstConclusiveDial = dial;
  }

  boolean concludedBy(long dial) {
    return dial >= firstConclusiveDial;
  }

  void markSent() {
    sent = true;
  }

  /**
   * Ends the call without an answer: as unknown if it was passed to a connection, else as not sent.
   */
  void fail(String reason) {
    complete(sent ? new CallOutcome.Unknown(reason) : new CallOutcome.NotSent(reason));
  }

  void complete(CallOutcome outcome) {
    if (!completed) {
      completed = true;
      timeout.cancel();
      callback.accept(outcome);
    }
  }
}
