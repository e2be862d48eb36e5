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
 * Runs of an earlier owner whose jobs are not known. Jobs of best effort are not stored; their
 * entry VMs submit them again soon after a change of owner, and then their runs go on.
 */
final class Orphans {

  /**
   * A run at work without a job.
   *
   * @param worker where it runs
   * @param run the run
   */
  record Orphan(WorkerLink worker, TaskRun run) {}

  private final Map<TaskId, Orphan> running = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private boolean expired;

  /** Takes a run whose job is not known; returns false if it is too late for its job to come. */
  boolean takeRunning(WorkerLink worker, TaskRun run) {
    if (expired) {
      return false;
    }
    running.put(run.task(), new Orphan(worker, run));
    return true;
  }

  /** Takes the end of a run; {@code successful} tells whether the task did its work. */
  void takeEnd(TaskRun run, boolean successful) {
    running.remove(run.task());
    if (successful && !expired) {
      done.add(run.task());
    }
  }

  /** Returns the run of a task that is at work, and forgets it. */
  Optional<Orphan> claim(TaskId task) {
    return Optional.ofNullable(running.remove(task));
  }

  /** Returns whether an earlier owner's run has done the task, and forgets it. */
  boolean claimDone(TaskId task) {
    return done.remove(task);
  }

  /** Takes no further runs, and returns those that nobody claimed. */
  List<Orphan> expire() {
    expired = true;
    List<Orphan> left = List.copyOf(running.values());
    running.clear();
    done.clear();
    return left;
  }
}
