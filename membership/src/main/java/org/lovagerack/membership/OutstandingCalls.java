package org.lovagerack.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.membership.generated.PeerProtocol.CallResponse;
import org.lovagerack.membership.generated.PeerProtocol.Frame;

/** The calls that were sent on one connection and not answered yet. */
final class OutstandingCalls {

  private final TimerService timer;
  private final Map<Long, OutgoingCall> calls = new HashMap<>();
  private long lastNumber;
  private long waitingSinceNanos;

  OutstandingCalls(TimerService timer) {
    this.timer = timer;
  }

  boolean isEmpty() {
    calls.values().removeIf(OutgoingCall::completed);
    return calls.isEmpty();
  }

  /** Returns when the connection last began to have calls outstanding. */
  long waitingSinceNanos() {
    return waitingSinceNanos;
  }

  void send(OutgoingCall call, Connection connection) {
    if (isEmpty()) {
      waitingSinceNanos = timer.nanoTime();
    }
    long number = ++lastNumber;
    calls.put(number, call);
    // From here on the call may have been received, whatever the connection reports later.
    call.markSent();
    connection.send(
        Frame.newBuilder().setCallRequest(call.request().toBuilder().setNumber(number)).build());
  }

  /** Completes the call that a response belongs to; one that has timed out is forgotten. */
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
