package org.lovagerack.daemon.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.membership.generated.PeerProtocol.AnswerHandover;
import org.lovagerack.membership.generated.PeerProtocol.FinishedJob;
import org.lovagerack.submission.Handover;
import org.lovagerack.submission.JobStatus;
import org.lovagerack.submission.SubmissionIdCodec;

/** Protobuf form of the answers that a draining process hands over. */
public final class HandoverCodec {

  private static final EventLog LOG = new EventLog(HandoverCodec.class);

  private final SubmissionIdCodec ids;

  public HandoverCodec(SubmissionIdCodec ids) {
    this.ids = ids;
  }

  /**
   * Encodes a handover.
   *
   * @param maxBytes maximum size of one message; a larger entry is sent in a message of its own
   */
  List<AnswerHandover> encode(Handover handover, int maxBytes) {
    List<AnswerHandover> messages = new ArrayList<>();
    AnswerHandover.Builder message = AnswerHandover.newBuilder();
    int size = 0;
    for (Handover.Entry entry : handover.entries()) {
      FinishedJob job = encode(entry);
      if (size > 0 && size + job.getSerializedSize() > maxBytes) {
        messages.add(message.build());
        message = AnswerHandover.newBuilder();
        size = 0;
      }
      message.addJobs(job);
      size += job.getSerializedSize();
    }
    if (size > 0) {
      messages.add(message.build());
    }
    return messages;
  }

  /** Decodes a handover. Logs an invalid one and returns empty. */
  Optional<Handover> decode(AnswerHandover message) {
    List<Handover.Entry> entries = new ArrayList<>();
    try {
      for (FinishedJob job : message.getJobsList()) {
        entries.add(decode(job));
      }
      return Optional.of(new Handover(entries));
    } catch (LovagerackException | IllegalArgumentException e) {
      LOG.write(LogEvent.PEER_REJECTED, "detail", "handover: " + e.getMessage());
      return Optional.empty();
    }
  }

  private FinishedJob encode(Handover.Entry entry) {
    FinishedJob.Builder job =
        FinishedJob.newBuilder()
            .setSubmissionId(ids.encode(entry.id()))
            .setBodyDigest(toByteString(entry.bodyDigest()))
            .setRefused(entry.refused())
            .setRetentionMillis(entry.retention().toMillis());
    switch (entry.status()) {
      case JobStatus.Completed completed ->
          completed.answers().forEach(answer -> job.addAnswers(toByteString(answer)));
      case JobStatus.Failed failed ->
          job.setFailureKind(failed.failure().kind().name())
              .setFailureOutcome(failed.failure().outcome().name())
              .setFailureDetail(failed.failure().detail());
      case JobStatus.Running running ->
          throw new IllegalArgumentException("a running job cannot be handed over");
    }
    return job.build();
  }

  private Handover.Entry decode(FinishedJob job) throws LovagerackException {
    return new Handover.Entry(
        ids.decode(job.getSubmissionId()),
        toBytes(job.getBodyDigest()),
        job.getRefused(),
        status(job),
        Duration.ofMillis(job.getRetentionMillis()));
  }

  private static JobStatus status(FinishedJob job) {
    if (job.getFailureKind().isEmpty()) {
      return new JobStatus.Completed(
          job.getAnswersList().stream().map(HandoverCodec::toBytes).toList());
    }
    return new JobStatus.Failed(
        new Failure(
            ErrorKind.valueOf(job.getFailureKind()),
            RunOutcome.valueOf(job.getFailureOutcome()),
            job.getFailureDetail(),
            Optional.empty()));
  }

  private static ByteString toByteString(Bytes bytes) {
    return ByteString.copyFrom(bytes.toByteArray());
  }

  private static Bytes toBytes(ByteString bytes) {
    return Bytes.copyOf(bytes.toByteArray());
  }
}
