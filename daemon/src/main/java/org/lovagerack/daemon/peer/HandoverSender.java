package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.Iterator;
import org.lovagerack.membership.generated.PeerProtocol.AnswerHandover;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.submission.Handover;

/** Hands finished answers to every live peer of the failure domain. */
public final class HandoverSender {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MESSAGE_BYTES = 1 << 20;

  private final EntryVmDirectory directory;
  private final PeerSurvey survey;
  private final HandoverCodec codec;

  public HandoverSender(EntryVmDirectory directory, PeerSurvey survey, HandoverCodec codec) {
    this.directory = directory;
    this.survey = survey;
    this.codec = codec;
  }

  /** Sends a handover; {@code whenSent} runs once every peer answered or failed. */
  public void send(Handover handover, Runnable whenSent) {
    sendFrom(codec.encode(handover, MESSAGE_BYTES).iterator(), whenSent);
  }

  private void sendFrom(Iterator<AnswerHandover> messages, Runnable whenSent) {
    if (!messages.hasNext()) {
      whenSent.run();
      return;
    }
    CallRequest request = CallRequest.newBuilder().setAnswerHandover(messages.next()).build();
    survey.ask(directory.livePeers(), request, TIMEOUT, outcomes -> sendFrom(messages, whenSent));
  }
}
