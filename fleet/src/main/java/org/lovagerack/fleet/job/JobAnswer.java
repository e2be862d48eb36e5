package org.lovagerack.fleet.job;

import java.time.Duration;
import org.lovagerack.foundation.error.ErrorKind;

/** Answer to a call about a job or a queue. */
public sealed interface JobAnswer {

  /** The job was stored and will run. */
  record Accepted() implements JobAnswer {}

  /**
   * State of the job.
   *
   * @param state the state
   */
  record State(JobState state) implements JobAnswer {}

  /** The job was cancelled, or had already ended. */
  record Cancelled() implements JobAnswer {}

  /**
   * Number of accepted jobs of a queue that have not started any task.
   *
   * @param jobs the number
   */
  record Pending(long jobs) implements JobAnswer {}

  /**
   * The owner does not run the job any further: the workers of a host cannot run its tasks, or the
   * owner gives the shard away. In the second case, its runs may go on until the next owner has
   * claimed or stopped them.
   *
   * @param handback state of the job
   */
  record HandedBack(CarriedState handback) implements JobAnswer {}

  /**
   * The job was not accepted and did not run; the caller submits it to another shard instead. A job
   * that was redirected before is at that shard.
   *
   * @param shard index of the other shard
   */
  record Redirected(int shard) implements JobAnswer {}

  /** There is no such job. */
  record UnknownJob() implements JobAnswer {}

  /**
   * The call was refused; a refused job was not stored and never runs.
   *
   * @param kind reason
   * @param retryAfter time after which the caller should retry; zero if a retry does not help
   */
  record Refused(ErrorKind kind, Duration retryAfter) implements JobAnswer {}

  /**
   * The outcome is unknown; the caller may repeat the call.
   *
   * @param kind reason
   */
  record Unresolved(ErrorKind kind) implements JobAnswer {}
}
