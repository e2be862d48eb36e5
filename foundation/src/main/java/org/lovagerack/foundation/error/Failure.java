package org.lovagerack.foundation.error;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure as reported to a caller or operator.
 *
 * @param kind kind of the error
 * @param outcome what is known about the execution
 * @param detail the specific reason, including the offending value
 * @param retryAfter delay after which another submission may succeed, if known
 */
public record Failure(
    ErrorKind kind, RunOutcome outcome, String detail, Optional<Duration> retryAfter) {

  /**
   * @throws IllegalArgumentException if the kind guarantees "not run" and the outcome is {@code
   *     RAN}
   */
  public Failure {
    if (kind.guaranteesNotRun() && outcome == RunOutcome.RAN) {
      throw new IllegalArgumentException(kind + " cannot have the outcome " + outcome);
    }
  }

  /** Returns a failure that guarantees that no task was started. */
  public static Failure notRun(ErrorKind kind, String detail) {
    return new Failure(kind, RunOutcome.NOT_RUN, detail, Optional.empty());
  }

  /** Returns a failure after which it is unknown whether a task was started. */
  public static Failure mayHaveRun(ErrorKind kind, String detail) {
    return new Failure(kind, RunOutcome.MAY_HAVE_RUN, detail, Optional.empty());
  }

  /** Returns this failure with the delay after which another submission may succeed. */
  public Failure retryAfter(Duration delay) {
    return new Failure(kind, outcome, detail, Optional.of(delay));
  }
}
