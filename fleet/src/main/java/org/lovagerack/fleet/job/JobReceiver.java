package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/** Calls that bring jobs to the owner of a shard. Every callback runs once. */
public interface JobReceiver {

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
}
