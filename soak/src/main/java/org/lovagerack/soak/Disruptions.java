package org.lovagerack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.lovagerack.foundation.timer.TimerService;

/** When which part was disturbed; promises with a time bound hold only where all was calm. */
final class Disruptions {

  /** Times are monotonic nanoseconds; a disruption that lasts has no end yet. */
  private static final class Interval {
    private final String subject;
    private final boolean planned;
    private final long fromNanos;
    private long untilNanos = Long.MAX_VALUE;

    Interval(String subject, boolean planned, long fromNanos) {
      this.subject = subject;
      this.planned = planned;
      this.fromNanos = fromNanos;
    }
  }

  private final TimerService timer;
  private final List<Interval> intervals = new ArrayList<>();

  Disruptions(TimerService timer) {
    this.timer = timer;
  }

  /** Notes that a disruption of a part begins; the result ends it. */
  Runnable begin(String subject) {
    return begin(subject, false);
  }

  /** Notes that planned work on a part begins, such as a stop by SIGTERM. */
  Runnable beginPlanned(String subject) {
    return begin(subject, true);
  }

  private Runnable begin(String subject, boolean planned) {
    Interval interval = new Interval(subject, planned, timer.nanoTime());
    intervals.add(interval);
    return () -> interval.untilNanos = timer.nanoTime();
  }

  /** Returns whether no part whose name matches was disturbed at any moment since a time. */
  boolean calmSince(Predicate<String> subject, long sinceNanos) {
    return since(sinceNanos).noneMatch(interval -> subject.test(interval.subject));
  }

  /** As {@link #calmSince}, but planned work does not count as a disturbance. */
  boolean soundSince(Predicate<String> subject, long sinceNanos) {
    return since(sinceNanos)
        .noneMatch(interval -> !interval.planned && subject.test(interval.subject));
  }

  private Stream<Interval> since(long sinceNanos) {
    return intervals.stream().filter(interval -> interval.untilNanos >= sinceNanos);
  }

  /** Returns whether planned work on a part began before a time and has not ended by then. */
  boolean plannedWorkAt(String subject, long nanos) {
    return intervals.stream()
        .anyMatch(
            interval ->
                interval.planned
                    && interval.subject.equals(subject)
                    && interval.fromNanos <= nanos
                    && interval.untilNanos >= nanos);
  }
}
