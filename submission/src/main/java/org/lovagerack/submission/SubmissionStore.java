package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.error.Failure;

/**
 * Stores the state of every sequence number of this incarnation. An issued number that is not used
 * takes no object, and a number below the removal watermark takes no memory. A number that was used
 * never returns to {@link SubmissionState.Issued}.
 */
final class SubmissionStore {

  private static final SubmissionState NOT_ISSUED = new SubmissionState.NotIssued();
  private static final SubmissionState ISSUED = new SubmissionState.Issued();

  private final SequenceWatermark expiryWatermark;
  private final SequenceWatermark removalWatermark;
  private final long retentionNanos;
  private final IdentifierBitmap usage = new IdentifierBitmap();
  private final Map<Long, SubmissionState> records = new HashMap<>();
  private final ArrayDeque<RetainedRecord> retainedRecords = new ArrayDeque<>();
  private long nextSequence = 1;
  private long retainedBytes;

  SubmissionStore(SubmissionSettings settings) {
    this.expiryWatermark = new SequenceWatermark(settings.unusedLifetime());
    this.removalWatermark =
        new SequenceWatermark(settings.unusedLifetime().plus(settings.answerRetention()));
    this.retentionNanos = settings.answerRetention().toNanos();
  }

  /** Issues consecutive sequence numbers and returns the first. */
  long issue(int count, long nowNanos) {
    long first = nextSequence;
    nextSequence += count;
    expiryWatermark.recordIssue(nextSequence, nowNanos);
    removalWatermark.recordIssue(nextSequence, nowNanos);
    return first;
  }

  /** Returns how many issued sequence numbers have not reached the end of their lifetime. */
  long outstanding() {
    return nextSequence - expiryWatermark.value();
  }

  /**
   * Removes expired records. Must be called before each lookup, because timers run late after the
   * process was paused.
   */
  void removeExpired(long nowNanos) {
    expiryWatermark.advance(nowNanos);
    removalWatermark.advance(nowNanos);
    usage.dropBelow(removalWatermark.value());
    while (!retainedRecords.isEmpty() && nowNanos - retainedRecords.peekFirst().expiresNanos >= 0) {
      RetainedRecord item = retainedRecords.removeFirst();
      records.remove(item.sequence);
      retainedBytes -= item.bytes;
    }
  }

  /** Returns the total size of the bodies of all retained answers, in bytes. */
  long retainedBytes() {
    return retainedBytes;
  }

  SubmissionState state(long sequence) {
    if (sequence < 1 || sequence >= nextSequence) {
      return NOT_ISSUED;
    }
    SubmissionState known = records.get(sequence);
    if (known != null) {
      return known;
    }
    if (sequence < removalWatermark.value()) {
      return new SubmissionState.Expired(false);
    }
    if (sequence < expiryWatermark.value() || usage.isUsed(sequence)) {
      return new SubmissionState.Expired(!usage.isAccepted(sequence));
    }
    return ISSUED;
  }

  void accept(long sequence, Bytes bodyDigest, RunningJob job) {
    requireIssued(sequence);
    usage.markUsed(sequence, true);
    records.put(sequence, new SubmissionState.Accepted(bodyDigest, job));
  }

  void refuse(long sequence, Bytes bodyDigest, Failure failure, long nowNanos) {
    requireIssued(sequence);
    usage.markUsed(sequence, false);
    retain(sequence, new SubmissionState.Refused(bodyDigest, failure), 0, nowNanos);
  }

  /** Records the final status and returns the job that finished. */
  RunningJob finish(long sequence, JobStatus status, long nowNanos) {
    if (!(records.get(sequence) instanceof SubmissionState.Accepted accepted)) {
      throw new IllegalStateException("sequence " + sequence + " is " + state(sequence));
    }
    SubmissionState finished = new SubmissionState.Finished(accepted.bodyDigest(), status);
    retain(sequence, finished, size(status), nowNanos);
    return accepted.job();
  }

  /** Returns the final answers and refusals with their remaining retention times. */
  List<Handover.Entry> finalEntries(OwnerIdentity owner, long nowNanos) {
    List<Handover.Entry> entries = new ArrayList<>(retainedRecords.size());
    for (RetainedRecord item : retainedRecords) {
      SubmissionId id = owner.identifier(item.sequence);
      Duration remaining = Duration.ofNanos(item.expiresNanos - nowNanos);
      switch (records.get(item.sequence)) {
        case SubmissionState.Refused refused ->
            entries.add(
                new Handover.Entry(
                    id,
                    refused.bodyDigest(),
                    true,
                    new JobStatus.Failed(refused.failure()),
                    remaining));
        case SubmissionState.Finished finished ->
            entries.add(
                new Handover.Entry(id, finished.bodyDigest(), false, finished.status(), remaining));
        default -> throw new IllegalStateException("sequence " + item.sequence + " is not final");
      }
    }
    return entries;
  }

  private void requireIssued(long sequence) {
    SubmissionState state = state(sequence);
    if (!state.equals(ISSUED)) {
      throw new IllegalStateException("sequence " + sequence + " is " + state);
    }
  }

  private void retain(long sequence, SubmissionState state, long bytes, long nowNanos) {
    records.put(sequence, state);
    retainedRecords.addLast(new RetainedRecord(sequence, nowNanos + retentionNanos, bytes));
    retainedBytes += bytes;
  }

  /** Returns the total size of the bodies of an answer, in bytes. */
  static long size(JobStatus status) {
    return status instanceof JobStatus.Completed completed
        ? completed.answers().stream().mapToLong(Bytes::length).sum()
        : 0;
  }

  private record RetainedRecord(long sequence, long expiresNanos, long bytes) {}
}
