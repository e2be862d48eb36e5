package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.TaskRunResult;

/** Receives events about the runs on a worker. */
interface RunListener {

  /**
   * Decision about a run that a former owner started.
   *
   * @param continues whether the run continues
   * @param resources resources of the run; {@link Resources#NONE} if its job is unknown
   * @param durable whether its job is known to be durable
   */
  record InheritedRunDecision(boolean continues, Resources resources, boolean durable) {}

  /** Called when the worker has reported to this owner for the first time. */
  void joined(WorkerSession session);

  /** Called once when all that the worker held under former owners has been read. */
  void reportedAll(WorkerSession session);

  /**
   * Called when a report may not list all results, because the worker lists the others only when
   * those of the report have been acknowledged.
   */
  void resultsWithheld(WorkerSession session);

  /** Called when the worker reports an active run that this session did not start. */
  InheritedRunDecision inheritedRunReported(WorkerSession session, TaskRun run);

  /**
   * Called when a run has ended; the result must be acknowledged once it is durable or irrelevant.
   */
  void ended(
      WorkerSession session,
      TaskRunResult result,
      UnacknowledgedResult unacknowledged,
      Duration ranFor);

  /** Called when a run is certainly no longer active and has not completed. */
  void lost(WorkerSession session, TaskRun run, RunLoss loss, String reason);

  /** Called when the worker has confirmed a start. */
  void started(WorkerSession session, TaskRun run);

  /**
   * Called when the worker lists a confirmed run that is not being stopped.
   *
   * @param percent progress of the run, 0 to 100
   * @param unchangedFor time for which the progress has been the same, on the worker's clock
   */
  void progressReported(WorkerSession session, TaskRun run, int percent, Duration unchangedFor);

  /**
   * Called when the worker has rejected a request because it has received a higher fencing token.
   */
  void fenced(WorkerSession session, long usedToken);

  /** Called when the worker may have more free resources than before. */
  void resourcesFreed(WorkerSession session);

  /** Returns whether the owner may extend the lease of runs of durable jobs. */
  boolean mayExtendDurableRuns();
}
