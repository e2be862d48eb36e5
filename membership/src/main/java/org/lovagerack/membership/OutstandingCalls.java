package org.lovagerack.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.membership.generated.PeerProtocol.CallResponse;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** The calls that were sent on one connection and are not yet answered. */
final class OutstandingCalls {

  private final TimerService timer;
  private final Map<Long, OutgoingCall> calls = new HashMap<>();
  private long lastNumber;
  private long outstandingSinceNanos;

  OutstandingCalls(TimerService timer) {
    this.timer = timer;
  }

  boolean isEmpty() {
    calls.values().removeIf(OutgoingCall::completed);
    return calls.isEmpty();
  }

  /** Returns the timer time since which calls have been outstanding without interruption. */
  long outstandingSinceNanos() {
    return outstandingSinceNanos;
  }

  void send(OutgoingCall call, Connection connection) {
    if (isEmpty()) {
      outstandingSinceNanos = timer.nanoTime();
    }
    long number = ++lastNumber;
    calls.put(number, call);
    // After this the call may have been received, even if the connection reports a failure.
    call.markSent();
    connection.send(
        Frame.newBuilder().setCallRequest(call.request().toBuilder().setNumber(number)).build());
  }

  /** Completes the call that a response belongs to. Responses to expired calls are ignored. */
  void answered(CallResponse response) {
    OutgoingCall call = calls.remove(response.getNumber());
    if (call != null) {
      Bytes body = Bytes.copyOf(response.getBody().toByteArray());
      call.complete(new CallOutcome.Answered(response.getStatus(), body));
    }
  }

  void failAll(String reason) {
    List<OutgoingCall> failed = List.copyOf(calls.values());
    calls.clear();
    failed.forEach(call -> call.fail(reason));
  }
}
