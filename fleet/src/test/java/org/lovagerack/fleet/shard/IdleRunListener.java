package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.TaskRunResult;

/** Listener of workers that have no runs but those that the test starts. */
class IdleRunListener implements RunListener {

  @Override
  public void joined(WorkerSession session) {}

  @Override
  public void reportedAll(WorkerSession session) {}

  @Override
  public void resultsWithheld(WorkerSession session) {}

  @Override
  public RunListener.InheritedRunDecision inheritedRunReported(WorkerSession session, TaskRun run) {
    throw new IllegalStateException("the worker lists no run");
  }

  @Override
  public void ended(
      WorkerSession session,
      TaskRunResult result,
      UnacknowledgedResult unacknowledged,
      Duration ranFor) {}

  @Override
  public void lost(WorkerSession session, TaskRun run, RunLoss loss, String reason) {}

  @Override
  public void started(WorkerSession session, TaskRun run) {}

  @Override
  public void progressReported(
      WorkerSession session, TaskRun run, int percent, Duration unchangedFor) {}

  @Override
  public void fenced(WorkerSession session, long usedToken) {}

  @Override
  public void resourcesFreed(WorkerSession session) {}

  @Override
  public boolean mayExtendDurableRuns() {
    return true;
  }
}
