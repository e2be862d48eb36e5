package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * The sequence number below which every identifier was issued at least {@code age} ago. Issues
 * within one second share an entry, so the mark can lag by one second and an entry costs little
 * however identifiers are issued.
 */
final class SequenceMark {

  private static final long GRANULARITY_NANOS = Duration.ofSeconds(1).toNanos();

  private final long ageNanos;
  private final ArrayDeque<Issue> issues = new ArrayDeque<>();
  private long mark = 1;

  SequenceMark(Duration age) {
    this.ageNanos = age.toNanos();
  }

  void issued(long endSequence, long nowNanos) {
    Issue last = issues.peekLast();
    if (last == null || nowNanos - last.firstNanos >= GRANULARITY_NANOS) {
      last = new Issue(nowNanos);
      issues.addLast(last);
    }
    last.endSequence = endSequence;
    last.lastNanos = nowNanos;
  }

  void advance(long nowNanos) {
    while (!issues.isEmpty() && nowNanos - issues.peekFirst().lastNanos >= ageNanos) {
      mark = issues.removeFirst().endSequence;
    }
  }

  long mark() {
    return mark;
  }

  private static final class Issue {
    private final long firstNanos;
    private long lastNanos;
    private long endSequence;

    private Issue(long firstNanos) {
      this.firstNanos = firstNanos;
    }
  }
}
