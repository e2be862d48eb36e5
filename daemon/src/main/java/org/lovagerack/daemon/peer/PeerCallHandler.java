package org.lovagerack.daemon.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.daemon.answer.Answer;
import org.lovagerack.daemon.answer.ProblemJson;
import org.lovagerack.daemon.job.JobApi;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.membership.CallReply;
import org.lovagerack.membership.PeerMessageHandler;
import org.lovagerack.membership.generated.PeerProtocol.CallRequest;
import org.lovagerack.membership.generated.PeerProtocol.SubmitCall;
import org.lovagerack.notes.CatchUpCodec;
import org.lovagerack.notes.NoteCodec;
import org.lovagerack.notes.NoteFollower;
import org.lovagerack.submission.JobService;

/** Answers the calls of other entry VMs. */
public final class PeerCallHandler implements PeerMessageHandler {

  /** Produces an answer, immediately or later on the event loop. */
  public interface AnswerSource {

    /** Passes one answer to {@code reply}. */
    void answer(Consumer<Answer> reply);
  }

  private static final EventLog LOG = new EventLog(PeerCallHandler.class);
  private static final int OK = 200;

  private final JobApi jobApi;
  private final JobService jobs;
  private final HandoverCodec handovers;
  private final NoteFollower notes;
  private final AnswerSource inForce;
  private final AnswerSource burn;

  /**
   * Creates a handler.
   *
   * @param jobApi handles requests for jobs
   * @param jobs stores answers that are handed over
   * @param handovers codec of handovers
   * @param notes release notes of this process
   * @param inForce reports the deployment in force on this process
   * @param burn reports the error-budget burn of this process
   */
  public PeerCallHandler(
      JobApi jobApi,
      JobService jobs,
      HandoverCodec handovers,
      NoteFollower notes,
      AnswerSource inForce,
      AnswerSource burn) {
    this.jobApi = jobApi;
    this.jobs = jobs;
    this.handovers = handovers;
    this.notes = notes;
    this.inForce = inForce;
    this.burn = burn;
  }

  @Override
  public void onCall(CallRequest request, CallReply reply) {
    switch (request.getCallCase()) {
      case SUBMIT -> submit(request.getSubmit(), reply);
      case STATUS ->
          jobApi.status(
              request.getStatus().getSubmissionId(),
              Duration.ofMillis(request.getStatus().getWaitMillis()),
              answer -> send(answer, reply));
      case CANCEL ->
          jobApi.cancel(request.getCancel().getSubmissionId(), answer -> send(answer, reply));
      case NOTES ->
          send(
              Answer.json(
                  OK,
                  CatchUpCodec.encode(notes.catchUpAfter(request.getNotes().getAfterRevision()))),
              reply);
      case IN_FORCE -> inForce.answer(answer -> send(answer, reply));
      case BURN -> burn.answer(answer -> send(answer, reply));
      case ANSWER_HANDOVER -> {
        handovers.decode(request.getAnswerHandover()).ifPresent(jobs::acceptHandover);
        send(Answer.json(OK, "{}"), reply);
      }
      case CALL_NOT_SET ->
          send(
              ProblemJson.answer(
                  Failure.mayHaveRun(ErrorKind.INVALID_FRAME, "the call is of an unknown kind")),
              reply);
    }
  }

  @Override
  public void onNotePush(long revision, Bytes note) {
    try {
      notes.offer(revision, NoteCodec.decode(note.toText()));
    } catch (LovagerackException e) {
      LOG.write(LogEvent.NOTE_REJECTED, "revision", revision, "detail", e.failure().detail());
    }
  }

  private void submit(SubmitCall call, CallReply reply) {
    Optional<Duration> wait =
        call.getRemainingWaitMillis() > 0
            ? Optional.of(Duration.ofMillis(call.getRemainingWaitMillis()))
            : Optional.empty();
    jobApi.submitForwarded(
        call.getSubmissionId(),
        Bytes.copyOf(call.getBody().toByteArray()),
        wait,
        answer -> send(answer, reply));
  }

  /** Sends a failure instead of an answer that exceeds the frame limit, so that the call ends. */
  private static void send(Answer answer, CallReply reply) {
    try {
      reply.answer(answer.status(), answer.body());
    } catch (IllegalArgumentException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e, "call", "answer to a peer");
      Answer failure =
          ProblemJson.answer(
              Failure.mayHaveRun(
                  ErrorKind.INTERNAL,
                  "the answer of "
                      + answer.body().length()
                      + " bytes is over the frame limit between entry VMs"));
      reply.answer(failure.status(), failure.body());
    }
  }
}
