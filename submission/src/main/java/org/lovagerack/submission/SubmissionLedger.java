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
 * State of every sequence number of this incarnation. Numbers that were issued and not used cost no
 * object; numbers below the low-water mark cost nothing. A number that was used can never return to
 * {@link LedgerState.Issued}.
 */
final class SubmissionLedger {

  private static final LedgerState NOT_ISSUED = new LedgerState.NotIssued();
  private static final LedgerState ISSUED = new LedgerState.Issued();

  private final SequenceMark expired;
  private final SequenceMark forgotten;
  private final long retentionNanos;
  private final IdentifierPages pages = new IdentifierPages();
  private final Map<Long, LedgerState> records = new HashMap<>();
  private final ArrayDeque<Retained> retained = new ArrayDeque<>();
  private long nextSequence = 1;
  private long retainedBytes;

  SubmissionLedger(SubmissionSettings settings) {
    this.expired = new SequenceMark(settings.unusedLifetime());
    this.forgotten = new SequenceMark(settings.unusedLifetime().plus(settings.answerRetention()));
    this.retentionNanos = settings.answerRetention().toNanos();
  }

  /** Issues consecutive numbers and returns the first. */
  long issue(int count, long nowNanos) {
    long first = nextSequence;
    nextSequence += count;
    expired.issued(nextSequence, nowNanos);
    forgotten.issued(nextSequence, nowNanos);
    return first;
  }

  /** Returns the number of numbers that were issued and whose lifetime has not passed. */
  long outstanding() {
    return nextSequence - expired.mark();
  }

  /** Expires what is due. Callers do so before each look-up, because timers lag after a pause. */
  void advance(long nowNanos) {
    expired.advance(nowNanos);
    forgotten.advance(nowNanos);
    pages.dropBelow(forgotten.mark());
    while (!retained.isEmpty() && nowNanos - retained.peekFirst().expiresNanos >= 0) {
      Retained item = retained.removeFirst();
      records.remove(item.sequence);
      retainedBytes -= item.bytes;
    }
  }

  /** Returns the size of the bodies of all retained answers. */
  long retainedBytes() {
    return retainedBytes;
  }

  LedgerState state(long sequence) {
    if (sequence < 1 || sequence >= nextSequence) {
      return NOT_ISSUED;
    }
    LedgerState known = records.get(sequence);
    if (known != null) {
      return known;
    }
    if (sequence < forgotten.mark()) {
      return new LedgerState.Expired(false);
    }
    if (sequence < expired.mark() || pages.isUsed(sequence)) {
      return new LedgerState.Expired(!pages.isAccepted(sequence));
    }
    return ISSUED;
  }

  void accept(long sequence, Bytes bodyDigest, RunningJob job) {
    requireIssued(sequence);
    pages.markUsed(sequence, true);
    records.put(sequence, new LedgerState.Accepted(bodyDigest, job));
  }

  void refuse(long sequence, Bytes bodyDigest, Failure failure, long nowNanos) {
    requireIssued(sequence);
    pages.markUsed(sequence, false);
    retain(sequence, new LedgerState.Refused(bodyDigest, failure), 0, nowNanos);
  }

  /** Records the final status and returns the job that finished. */
  RunningJob finish(long sequence, JobStatus status, long nowNanos) {
    if (!(records.get(sequence) instanceof LedgerState.Accepted accepted)) {
      throw new IllegalStateException("sequence " + sequence + " is " + state(sequence));
    }
    LedgerState finished = new LedgerState.Finished(accepted.bodyDigest(), status);
    retain(sequence, finished, size(status), nowNanos);
    return accepted.job();
  }

  /** Returns the final answers and refusals with their remaining retention. */
  List<Handover.Entry> finalEntries(OwnerIdentity owner, long nowNanos) {
    List<Handover.Entry> entries = new ArrayList<>(retained.size());
    for (Retained item : retained) {
      SubmissionId id = owner.identifier(item.sequence);
      Duration left = Duration.ofNanos(item.expiresNanos - nowNanos);
      switch (records.get(item.sequence)) {
        case LedgerState.Refused refused ->
            entries.add(
                new Handover.Entry(
                    id, refused.bodyDigest(), true, new JobStatus.Failed(refused.failure()), left));
        case LedgerState.Finished finished ->
            entries.add(
                new Handover.Entry(id, finished.bodyDigest(), false, finished.status(), left));
        default -> throw new IllegalStateException("sequence " + item.sequence + " is not final");
      }
    }
    return entries;
  }

  private void requireIssued(long sequence) {
    LedgerState state = state(sequence);
    if (!state.equals(ISSUED)) {
      throw new IllegalStateException("sequence " + sequence + " is " + state);
    }
  }

  private void retain(long sequence, LedgerState state, long bytes, long nowNanos) {
    records.put(sequence, state);
    retained.addLast(new Retained(sequence, nowNanos + retentionNanos, bytes));
    retainedBytes += bytes;
  }

  /** Returns the size of the bodies of an answer. */
  static long size(JobStatus status) {
    return status instanceof JobStatus.Completed completed
        ? completed.answers().stream().mapToLong(Bytes::length).sum()
        : 0;
  }

  private record Retained(long sequence, long expiresNanos, long bytes) {}
}
