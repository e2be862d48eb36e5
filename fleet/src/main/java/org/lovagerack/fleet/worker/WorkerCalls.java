package org.lovagerack.fleet.worker;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.TaskRun;

/** Orders to workers. Every callback runs once, on the caller's event loop. */
public interface WorkerCalls {

  /** Starts a task. */
  void start(
      WorkerEntry worker, StartOrder order, Duration timeout, Consumer<OrderOutcome> callback);

  /** Stops a run, and keeps it from starting if the worker has not received it yet. */
  void stop(
      WorkerEntry worker,
      TaskRun run,
      long fencingToken,
      Duration timeout,
      Consumer<OrderOutcome> callback);

  /**
   * Extends the lease and asks for a report.
   *
   * @param timeout time to wait for the answer beyond the order's own wait
   */
  void report(
      WorkerEntry worker, LeaseOrder order, Duration timeout, Consumer<ReportOutcome> callback);
}
