package org.lovagerack.fleet.shard;

import java.util.HashMap;
import java.util.Map;
import org.lovagerack.fleet.job.TaskId;

/**
 * Tasks of which some worker may have a run at work, whoever started it and whether or not its job
 * is known. None of them may start anywhere else.
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
