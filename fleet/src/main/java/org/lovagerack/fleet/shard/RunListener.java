package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.RunEnd;

/** Receives what happens to the runs on a worker. */
interface RunListener {

  /**
   * What becomes of a run that an earlier owner started.
   *
   * @param goesOn whether the run is kept
   * @param resources resources of the run, as far as they are known
   */
  record Found(boolean goesOn, Resources resources) {}

  /** The worker has reported for the first time under this owner. */
  void joined(WorkerLink link);

  /** A run is at work that this link did not start. */
  Found found(WorkerLink link, TaskRun run);

  /** A run has ended; its receipt must be settled once the end is durable or does not matter. */
  void ended(WorkerLink link, RunEnd end, EndReceipt receipt, Duration ranFor);

  /** A run has certainly not ended as done and is not at work any more. */
  void lost(WorkerLink link, TaskRun run, String reason);

  /** A start was confirmed. */
  void started(WorkerLink link, TaskRun run);

  /** The worker has seen a higher fencing token than that of an order. */
  void fenced(WorkerLink link, long usedToken);

  /** The worker has more room than before. */
  void roomGained(WorkerLink link);

  /** Returns whether the owner may still extend the lease of the worker's runs. */
  boolean mayExtend(WorkerLink link);
}
