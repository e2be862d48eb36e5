package org.lovagerack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Records when each part of the system was disrupted. Guarantees with a time bound are checked only
 * for times without disruptions.
 */
final class Disruptions {

  /** Times are monotonic nanoseconds; the end of an active disruption is {@code MAX_VALUE}. */
  private static final class Interval {
    private final String subject;
    private final boolean planned;
    private final long startNanos;
    private long endNanos = Long.MAX_VALUE;

    Interval(String subject, boolean planned, long startNanos) {
      this.subject = subject;
      this.planned = planned;
      this.startNanos = startNanos;
    }
  }

  private final TimerService timer;
  private final List<Interval> intervals = new ArrayList<>();

  Disruptions(TimerService timer) {
    this.timer = timer;
  }

  /** Records the start of a disruption; the returned callback records its end. */
  Runnable begin(String subject) {
    return begin(subject, false);
  }

  /** Records the start of planned work, such as a stop by SIGTERM, like {@link #begin}. */
  Runnable beginPlanned(String subject) {
    return begin(subject, true);
  }

  private Runnable begin(String subject, boolean planned) {
    Interval interval = new Interval(subject, planned, timer.nanoTime());
    intervals.add(interval);
    return () -> interval.endNanos = timer.nanoTime();
  }

  /** Returns whether no matching part was disrupted at any time since the given time. */
  boolean noDisruptionSince(Predicate<String> subject, long sinceNanos) {
    return activeSince(sinceNanos).noneMatch(interval -> subject.test(interval.subject));
  }

  /** Like {@link #noDisruptionSince}, but ignores planned work. */
  boolean noUnplannedDisruptionSince(Predicate<String> subject, long sinceNanos) {
    return activeSince(sinceNanos)
        .noneMatch(interval -> !interval.planned && subject.test(interval.subject));
  }

  private Stream<Interval> activeSince(long sinceNanos) {
    return intervals.stream().filter(interval -> interval.endNanos >= sinceNanos);
  }

  /** Returns whether planned work on a part was active at the given time. */
  boolean isPlannedWorkActiveAt(String subject, long nanos) {
    return intervals.stream()
        .anyMatch(
            interval ->
                interval.planned
                    && interval.subject.equals(subject)
                    && interval.startNanos <= nanos
                    && interval.endNanos >= nanos);
  }
}
