package org.lovagerack.fleet.support;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.RunEnd;

/** Sees what all workers do, and notes every broken promise. */
public final class RunObserver {

  private final Map<TaskId, Set<String>> atWork = new HashMap<>();
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final List<String> starts = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();

  void started(String worker, TaskRun run) {
    Set<String> places = atWork.computeIfAbsent(run.task(), key -> new HashSet<>());
    places.add(worker + "/" + run.run());
    if (places.size() > 1) {
      problems.add("two runs at the same time: " + run.task() + " on " + places);
    }
    if (acknowledgedDone.contains(run.task())) {
      problems.add("started after its end was acknowledged: " + run);
    }
    starts.add(worker + " " + run);
  }

  void over(String worker, TaskRun run, boolean done) {
    atWork.getOrDefault(run.task(), new HashSet<>()).remove(worker + "/" + run.run());
  }

  void acknowledged(String worker, RunEnd end) {
    if (end.kind() == RunEnd.Kind.DONE) {
      acknowledgedDone.add(end.run().task());
    }
  }

  /** Returns the starts that workers carried out. */
  public List<String> starts() {
    return starts;
  }

  /** Returns the promises that were broken. */
  public List<String> problems() {
    return problems;
  }
}
