package org.lovagerack.fleet.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;

/**
 * Runs that a former owner started and whose jobs are unknown. Best-effort jobs are not stored.
 * Their entry VMs resubmit them soon after a takeover, and the runs then continue.
 */
final class InheritedRuns {

  /**
   * An active run whose job is unknown.
   *
   * @param worker session of the worker that executes the run
   * @param run the run
   */
  record InheritedRun(WorkerSession worker, TaskRun run) {}

  private final Map<TaskId, InheritedRun> running = new HashMap<>();
  private final Set<TaskId> doneTasks = new HashSet<>();
  private boolean expired;

  /** Adds an active run whose job is unknown; returns false after {@link #expire}. */
  boolean addRunning(WorkerSession worker, TaskRun run) {
    if (expired) {
      return false;
    }
    running.put(run.task(), new InheritedRun(worker, run));
    return true;
  }

  /** Records the end of a run; {@code successful} states whether the task completed. */
  void recordEnd(TaskRun run, boolean successful) {
    running.remove(run.task());
    if (successful && !expired) {
      doneTasks.add(run.task());
    }
  }

  /** Removes a run that is no longer active and has not completed. */
  void recordLoss(TaskRun run) {
    running.computeIfPresent(
        run.task(), (task, inherited) -> inherited.run().equals(run) ? null : inherited);
  }

  /** Removes and returns the active run of a task. */
  Optional<InheritedRun> claim(TaskId task) {
    return Optional.ofNullable(running.remove(task));
  }

  /** Returns whether a former owner's run completed a task, and removes the record of it. */
  boolean claimDone(TaskId task) {
    return doneTasks.remove(task);
  }

  /** Stops accepting runs and returns those that were not claimed. */
  List<InheritedRun> expire() {
    expired = true;
    List<InheritedRun> unclaimed = List.copyOf(running.values());
    running.clear();
    doneTasks.clear();
    return unclaimed;
  }
}
