package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.configuration.Queue;

/** Calls about jobs. Every callback runs once, on the caller's event loop. */
public interface JobService {

  /**
   * Submits a job. Submitting the same identifier again does not create a second job. A job that is
   * to be kept is answered when it is stored, one of best effort when it has ended.
   *
   * @param patience how long the caller waits for the answer
   */
  void submit(
      String jobId, Queue queue, JobSpec spec, Duration patience, Consumer<JobAnswer> callback);

  /** Asks for the state of a job. */
  void state(String jobId, Consumer<JobAnswer> callback);

  /** Cancels a job. */
  void cancel(String jobId, Consumer<JobAnswer> callback);

  /** Counts the jobs of a queue of which no task has started. */
  void pending(String queueName, Consumer<JobAnswer> callback);
}
