package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Low watermark of sequence numbers: every number below {@link #value} was issued at least {@code
 * age} ago. Numbers issued within one second share a batch, which bounds the memory at any rate of
 * calls; in return the watermark can lag by up to one second.
 */
final class SequenceWatermark {

  private static final long BATCH_NANOS = Duration.ofSeconds(1).toNanos();

  private final long ageNanos;
  private final ArrayDeque<IssueBatch> batches = new ArrayDeque<>();
  private long value = 1;

  SequenceWatermark(Duration age) {
    this.ageNanos = age.toNanos();
  }

  void recordIssue(long endSequence, long nowNanos) {
    IssueBatch last = batches.peekLast();
    if (last == null || nowNanos - last.firstNanos >= BATCH_NANOS) {
      last = new IssueBatch(nowNanos);
      batches.addLast(last);
    }
    last.endSequence = endSequence;
    last.lastNanos = nowNanos;
  }

  void advance(long nowNanos) {
    while (!batches.isEmpty() && nowNanos - batches.peekFirst().lastNanos >= ageNanos) {
      value = batches.removeFirst().endSequence;
    }
  }

  long value() {
    return value;
  }

  private static final class IssueBatch {
    private final long firstNanos;
    private long lastNanos;
    private long endSequence;

    private IssueBatch(long firstNanos) {
      this.firstNanos = firstNanos;
    }
  }
}
