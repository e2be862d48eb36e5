package org.lovagerack.fleet.worker;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.TaskRun;

/** Calls to workers. Every callback runs once, on the caller's event loop. */
public interface WorkerCalls {

  /** Starts a task. */
  void start(
      WorkerEntry worker,
      StartRequest request,
      Duration timeout,
      Consumer<RequestOutcome> callback);

  /** Stops a run, or prevents its start if the worker has not received the start request yet. */
  void stop(
      WorkerEntry worker,
      TaskRun run,
      long fencingToken,
      Duration timeout,
      Consumer<RequestOutcome> callback);

  /**
   * Extends the lease and requests a report.
   *
   * @param timeout time to wait for the answer in addition to the maximum wait of the request
   */
  void report(
      WorkerEntry worker,
      ReportRequest request,
      Duration timeout,
      Consumer<ReportOutcome> callback);
}
