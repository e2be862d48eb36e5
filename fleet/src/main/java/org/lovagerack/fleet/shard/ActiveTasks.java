package org.lovagerack.fleet.shard;

import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.job.TaskId;

/**
 * Tasks that may be running on some worker, regardless of which owner started them and whether
 * their jobs are known. None of them may be started on another worker.
 */
final class ActiveTasks {

  private final Map<TaskId, Integer> runs = new HashMap<>();

  void add(TaskId task) {
    runs.merge(task, 1, Integer::sum);
  }

  void remove(TaskId task) {
    runs.computeIfPresent(task, (key, count) -> count == 1 ? null : count - 1);
  }

  boolean contains(TaskId task) {
    return runs.containsKey(task);
  }
}
