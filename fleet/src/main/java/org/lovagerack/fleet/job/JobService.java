package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/** Calls about jobs. Every callback runs once, on the caller's event loop. */
public interface JobService {

  /**
   * Submits a job. Submitting the same identifier again does not create a second job. A job that is
   * to be kept is answered when it is stored, one of best effort when it has ended.
   */
  void submit(Submission submission, Consumer<JobAnswer> callback);

  /**
   * The client of a submission is gone: a job of best effort that nobody else waits for is ended.
   */
  void abandon(Submission submission);

  /** Asks for the state of a job. */
  void state(String jobId, Consumer<JobAnswer> callback);

  /** Cancels a job. */
  void cancel(String jobId, Consumer<JobAnswer> callback);

  /** Counts the jobs of a queue of which no task has started. */
  void pending(String queueName, Consumer<JobAnswer> callback);
}
