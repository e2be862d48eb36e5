package org.lovagerack.submission;

import java.time.Duration;
import java.util.Comparator;
import org.lovagerack.dispatch.JobShape;
import org.lovagerack.dispatch.TaskSpec;

/** Describes jobs and tasks to the dispatcher. */
final class DispatchMapping {

  /** Keeps sums of times in nanoseconds within a {@code long}, whatever a caller declares. */
  private static final Duration LONGEST = Duration.ofDays(365);

  private DispatchMapping() {}

  static long deadline(long nowNanos, Duration timeLimit) {
    return nowNanos + bounded(timeLimit).toNanos();
  }

  static JobShape shape(JobRequest request, long deadlineNanos) {
    Duration longest =
        request.tasks().stream()
            .map(TaskRequest::declaredRunTime)
            .max(Comparator.naturalOrder())
            .orElseThrow();
    return new JobShape(
        request.service(),
        request.kind(),
        request.team(),
        request.urgent(),
        request.tasks().size(),
        bounded(longest),
        deadlineNanos);
  }

  static TaskSpec task(JobRequest request, int index, String keyPrefix, long deadlineNanos) {
    TaskRequest task = request.tasks().get(index);
    return new TaskSpec(
        keyPrefix + "/" + index,
        request.service(),
        request.kind(),
        request.team(),
        request.urgent(),
        task.repeatable(),
        bounded(task.declaredRunTime()),
        deadlineNanos,
        task.body());
  }

  /** A negative time limit is refused later; zero stands for it here. */
  private static Duration bounded(Duration duration) {
    if (duration.isNegative()) {
      return Duration.ZERO;
    }
    return duration.compareTo(LONGEST) < 0 ? duration : LONGEST;
  }
}
