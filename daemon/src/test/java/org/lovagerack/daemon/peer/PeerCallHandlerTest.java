package org.lovagerack.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.membership.CallReply;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.InForceCall;

/** Guards against a call that gets no answer because the answer exceeds the frame limit. */
final class PeerCallHandlerTest {

  private static final int FRAME_LIMIT = 1_000;

  private final List<Bytes> answers = new ArrayList<>();
  private final CallReply reply =
      (status, body) -> {
        if (body.length() > FRAME_LIMIT) {
          throw new IllegalArgumentException("over the limit");
        }
        answers.add(body);
      };

  @Test
  void answerOverTheFrameLimitBecomesAFailure() {
    PeerCallHandler handler =
        new PeerCallHandler(
            null,
            null,
            null,
            null,
            answer -> answer.accept(Answer.json(200, "x".repeat(FRAME_LIMIT + 1))),
            answer -> {});

    handler.onCall(
        CallRequest.newBuilder().setInForce(InForceCall.getDefaultInstance()).build(), reply);

    assertThat(answers).hasSize(1);
    assertThat(answers.getFirst().toText()).contains("1001 bytes").contains("may-have-run");
  }

  @Test
  void unknownCallIsAnsweredWithAFailure() {
    PeerCallHandler handler =
        new PeerCallHandler(null, null, null, null, answer -> {}, answer -> {});

    handler.onCall(CallRequest.getDefaultInstance(), reply);

    assertThat(answers).hasSize(1);
    assertThat(answers.getFirst().toText()).contains("invalid-frame");
  }
}
