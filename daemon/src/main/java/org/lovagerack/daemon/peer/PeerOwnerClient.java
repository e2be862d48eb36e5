package org.lovagerack.daemon.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.daemon.job.OwnerClient;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.membership.CallOutcome;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.CancelCall;
import org.lovagerack.membership.generated.PeerProtocol.StatusCall;
import org.lovagerack.membership.generated.PeerProtocol.SubmitCall;
import org.lovagerack.submission.SubmissionId;
import org.lovagerack.submission.SubmissionIdCodec;

/** Forwards requests to the owner of a submission over the peer protocol. */
public final class PeerOwnerClient implements OwnerClient {

  /** Timeout of a call, in addition to the time that the caller waits for the job. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
  private static final int FIRST_ERROR_STATUS = 400;
  private static final int ACCEPTED_STATUS = 202;

  private final PeerClient peerClient;
  private final SubmissionIdCodec codec;

  public PeerOwnerClient(PeerClient peerClient, SubmissionIdCodec codec) {
    this.peerClient = peerClient;
    this.codec = codec;
  }

  @Override
  public void submit(SubmissionId id, Bytes body, Optional<Duration> wait, Consumer<Answer> reply) {
    SubmitCall.Builder call =
        SubmitCall.newBuilder()
            .setSubmissionId(codec.encode(id))
            .setBody(ByteString.copyFrom(body.toByteArray()));
    wait.ifPresent(duration -> call.setRemainingWaitMillis(duration.toMillis()));
    send(id, CallRequest.newBuilder().setSubmit(call), wait.orElse(Duration.ZERO), reply);
  }

  @Override
  public void status(SubmissionId id, Duration wait, Consumer<Answer> reply) {
    StatusCall.Builder call =
        StatusCall.newBuilder().setSubmissionId(codec.encode(id)).setWaitMillis(wait.toMillis());
    send(id, CallRequest.newBuilder().setStatus(call), wait, reply);
  }

  @Override
  public void cancel(SubmissionId id, Consumer<Answer> reply) {
    CancelCall.Builder call = CancelCall.newBuilder().setSubmissionId(codec.encode(id));
    send(id, CallRequest.newBuilder().setCancel(call), Duration.ZERO, reply);
  }

  private void send(
      SubmissionId id, CallRequest.Builder request, Duration wait, Consumer<Answer> reply) {
    peerClient.call(
        id.peerAddress(),
        id.incarnation(),
        request.build(),
        wait.plus(CALL_TIMEOUT),
        outcome -> reply.accept(answer(id, outcome)));
  }

  private Answer answer(SubmissionId id, CallOutcome outcome) {
    return switch (outcome) {
      case CallOutcome.Answered answered -> forwarded(id, answered);
      case CallOutcome.WrongIncarnation wrong ->
          lost("another process has the address " + id.peerAddress() + " of the owner");
      case CallOutcome.ConnectionRefused refused ->
          lost("no process listens at the address " + id.peerAddress() + " of the owner");
      case CallOutcome.NotSent notSent -> unreachable(id, notSent.reason());
      case CallOutcome.Unknown unknown -> unreachable(id, unknown.reason());
    };
  }

  private Answer forwarded(SubmissionId id, CallOutcome.Answered answered) {
    String mediaType =
        answered.status() >= FIRST_ERROR_STATUS ? ProblemJson.MEDIA_TYPE : Answer.JSON;
    Map<String, String> headers =
        answered.status() == ACCEPTED_STATUS
            ? Map.of(Answer.CONTENT_TYPE, mediaType, "Location", "/v1/jobs/" + codec.encode(id))
            : Map.of(Answer.CONTENT_TYPE, mediaType);
    return new Answer(answered.status(), headers, answered.body());
  }

  private static Answer lost(String detail) {
    return ProblemJson.answer(Failure.mayHaveRun(ErrorKind.OWNER_LOST, detail));
  }

  private static Answer unreachable(SubmissionId id, String reason) {
    return ProblemJson.answer(
        Failure.mayHaveRun(ErrorKind.OWNER_UNREACHABLE, "owner " + id.peerAddress() + ": " + reason)
            .retryAfter(RETRY_AFTER));
  }
}
