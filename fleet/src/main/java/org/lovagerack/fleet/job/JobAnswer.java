package org.lovagerack.fleet.job;

import java.time.Duration;
import org.lovagerack.foundation.error.ErrorKind;

/** Answer to a call about a job or a queue. */
public sealed interface JobAnswer {

  /** The job is stored and will run. */
  record Accepted() implements JobAnswer {}

  /**
   * State of the job.
   *
   * @param state the state
   */
  record State(JobState state) implements JobAnswer {}

  /** The job is cancelled, or had ended before. */
  record Cancelled() implements JobAnswer {}

  /**
   * Number of accepted jobs of a queue of which no task has started.
   *
   * @param jobs the number
   */
  record Pending(long jobs) implements JobAnswer {}

  /** There is no such job. */
  record UnknownJob() implements JobAnswer {}

  /**
   * The call was refused; a refused job has not been stored and never runs.
   *
   * @param kind why
   * @param retryAfter when the caller should try again; zero if trying again does not help
   */
  record Refused(ErrorKind kind, Duration retryAfter) implements JobAnswer {}

  /**
   * The outcome is not known; the caller may repeat the call.
   *
   * @param kind why
   */
  record Unresolved(ErrorKind kind) implements JobAnswer {}
}
