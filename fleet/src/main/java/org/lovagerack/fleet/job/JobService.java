package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/** Calls about jobs. Every callback runs once, on the caller's event loop. */
public interface JobService {

  /**
   * Submits a job. Submitting the same identifier again does not create a second job. A durable job
   * is answered when it has been stored, a best-effort job when it has ended.
   */
  void submit(Submission submission, Consumer<JobAnswer> callback);

  /**
   * Reports that the client of a submission has disconnected. A best-effort job is ended if no
   * other client waits for it.
   */
  void abandon(Submission submission);

  /** Returns the state of a job. */
  void state(String jobId, Consumer<JobAnswer> callback);

  /** Cancels a job. */
  void cancel(String jobId, Consumer<JobAnswer> callback);

  /** Counts the jobs of a queue that have not started any task. */
  void pending(String queueName, Consumer<JobAnswer> callback);
}
