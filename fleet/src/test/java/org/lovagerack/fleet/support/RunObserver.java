package org.lovagerack.fleet.support;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.TaskRunResult;

/** Records the runs of all workers, and every violation of a guarantee. */
public final class RunObserver {

  private final Map<TaskId, Set<String>> running = new HashMap<>();
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final List<String> starts = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  void started(String worker, TaskRun run) {
    Set<String> runs = running.computeIfAbsent(run.task(), key -> new HashSet<>());
    runs.add(worker + "/" + run.run());
    if (runs.size() > 1) {
      violations.add("two runs at the same time: " + run.task() + " on " + runs);
    }
    if (acknowledgedDone.contains(run.task())) {
      violations.add("started after its result was acknowledged: " + run);
    }
    starts.add(worker + " " + run);
  }

  void ended(String worker, TaskRun run, boolean done) {
    running.getOrDefault(run.task(), new HashSet<>()).remove(worker + "/" + run.run());
  }

  void acknowledged(String worker, TaskRunResult result) {
    if (result.kind() == TaskRunResult.Kind.DONE) {
      acknowledgedDone.add(result.run().task());
    }
  }

  /** Returns the starts that workers performed. */
  public List<String> starts() {
    return starts;
  }

  /** Returns the violations of guarantees. */
  public List<String> violations() {
    return violations;
  }
}
