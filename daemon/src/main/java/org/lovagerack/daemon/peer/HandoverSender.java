package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.Iterator;
import org.lovagerack.membership.generated.PeerProtocol.AnswerHandover;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.submission.Handover;

/** Sends retained answers to every live peer of the same failure domain. */
public final class HandoverSender {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  private final EntryVmDirectory directory;
  private final PeerBroadcast broadcast;
  private final HandoverCodec codec;

  public HandoverSender(EntryVmDirectory directory, PeerBroadcast broadcast, HandoverCodec codec) {
    this.directory = directory;
    this.broadcast = broadcast;
    this.codec = codec;
  }

  /** Sends a handover. {@code onSent} runs when every call has been answered or has failed. */
  public void send(Handover handover, Runnable onSent) {
    sendFrom(codec.encode(handover, MAX_MESSAGE_BYTES).iterator(), onSent);
  }

  private void sendFrom(Iterator<AnswerHandover> messages, Runnable onSent) {
    if (!messages.hasNext()) {
      onSent.run();
      return;
    }
    CallRequest request = CallRequest.newBuilder().setAnswerHandover(messages.next()).build();
    broadcast.callAll(
        directory.livePeers(), request, CALL_TIMEOUT, outcomes -> sendFrom(messages, onSent));
  }
}
