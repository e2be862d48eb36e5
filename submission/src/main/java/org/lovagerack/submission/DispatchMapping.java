package org.lovagerack.submission;

import java.time.Duration;
import java.util.Comparator;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.TaskSpec;

/** Converts jobs and tasks to the types of the dispatcher. */
final class DispatchMapping {

  /** Limits declared durations, so that sums of nanoseconds do not overflow a {@code long}. */
  private static final Duration MAX_DURATION = Duration.ofDays(365);

  private DispatchMapping() {}

  static long deadline(long nowNanos, Duration timeLimit) {
    return nowNanos + clamp(timeLimit).toNanos();
  }

  static AdmissionRequest admissionRequest(JobRequest request, long deadlineNanos) {
    Duration maxRunTime =
        request.tasks().stream()
            .map(TaskRequest::declaredRunTime)
            .max(Comparator.naturalOrder())
            .orElseThrow();
    return new AdmissionRequest(
        request.service(),
        request.kind(),
        request.team(),
        request.urgent(),
        request.tasks().size(),
        clamp(maxRunTime),
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
        clamp(task.declaredRunTime()),
        deadlineNanos,
        task.body());
  }

  /**
   * Limits a duration to the supported range. A negative one becomes 0; the validator refuses it.
   */
  private static Duration clamp(Duration duration) {
    if (duration.isNegative()) {
      return Duration.ZERO;
    }
    return duration.compareTo(MAX_DURATION) < 0 ? duration : MAX_DURATION;
  }
}
