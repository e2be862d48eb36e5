package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/** Calls about jobs. Every callback runs once, on the caller's event loop. */
public interface JobService extends JobReceiver {

  /** Returns the state of a job. */
  void state(String jobId, Consumer<JobAnswer> callback);

  /** Cancels a job. */
  void cancel(String jobId, Consumer<JobAnswer> callback);

  /** Counts the jobs of a queue that have not started any task. */
  void pending(String queueName, Consumer<JobAnswer> callback);
}
