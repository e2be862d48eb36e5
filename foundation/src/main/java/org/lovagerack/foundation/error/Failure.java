package org.lovagerack.foundation.error;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure as a caller or operator sees it.
 *
 * @param kind one of the closed list
 * @param outcome what is known about the execution
 * @param detail the particular reason, naming the offending value
 * @param retryAfter when another submission may succeed, if that is known
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

  /** Returns this failure with the time after which another submission may succeed. */
  public Failure retryAfter(Duration delay) {
    return new Failure(kind, outcome, detail, Optional.of(delay));
  }
}
