package org.lovagerack.fleet.shard;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;

/** Runs on one worker that are active or may become active, including those being started. */
final class WorkerRuns {

  private final ActiveTasks activeTasks;
  private final Map<TaskRun, ActiveRun> runs = new HashMap<>();
  private Resources used = Resources.NONE;

  /**
   * Creates an empty set of runs.
   *
   * @param activeTasks active tasks of all workers, which this object updates
   */
  WorkerRuns(ActiveTasks activeTasks) {
    this.activeTasks = activeTasks;
  }

  void add(TaskRun run, ActiveRun active) {
    runs.put(run, active);
    used = used.plus(active.resources());
    activeTasks.add(run.task());
  }

  /** Removes a run that is certainly no longer active, if present. */
  void remove(TaskRun run) {
    ActiveRun active = runs.remove(run);
    if (active != null) {
      activeTasks.remove(run.task());
      used = used.minus(active.resources());
    }
  }

  /** Sets the resources of a run whose job has been identified. */
  void claim(TaskRun run, Resources resources) {
    ActiveRun active = runs.get(run);
    if (active != null) {
      used = used.minus(active.resources()).plus(resources);
      active.claim(resources);
    }
  }

  /** Returns the state of a run, or null if it is unknown. */
  ActiveRun get(TaskRun run) {
    return runs.get(run);
  }

  boolean isEmpty() {
    return runs.isEmpty();
  }

  int size() {
    return runs.size();
  }

  Set<TaskRun> all() {
    return Collections.unmodifiableSet(runs.keySet());
  }

  /** Calls back for each run; the callback may remove runs. */
  void forEach(BiConsumer<TaskRun, ActiveRun> callback) {
    List.copyOf(runs.entrySet())
        .forEach(entry -> callback.accept(entry.getKey(), entry.getValue()));
  }

  boolean any(Predicate<ActiveRun> predicate) {
    return runs.values().stream().anyMatch(predicate);
  }

  int countOfStep(String jobId, int step) {
    int count = 0;
    for (TaskRun run : runs.keySet()) {
      if (run.task().jobId().equals(jobId) && run.task().step() == step) {
        count++;
      }
    }
    return count;
  }

  /** Returns the resources that the runs use. */
  Resources used() {
    return used;
  }
}
