package review3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What the workers have seen of each task, for the checks at the end of a script. */
final class Runs {

  /** One run of a task on one worker; times in milliseconds since the start of the script. */
  static final class Run {
    final String task;
    final int number;
    final String worker;
    final long startedMillis;

    /** -1 while the run goes on. */
    long endedMillis = -1;

    String how = "";

    /** Whether {@code acked_through} reached the end before the worker's lease lapsed. */
    boolean noted;

    Run(String task, int number, String worker, long startedMillis) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.startedMillis = startedMillis;
    }

    @Override
    public String toString() {
      return "run "
          + number
          + " on "
          + worker
          + " from "
          + startedMillis / 1000.0
          + (endedMillis < 0 ? " on" : " to " + endedMillis / 1000.0 + " " + how)
          + (noted ? " (end noted)" : "");
    }
  }

  private final Log log;
  private final Map<String, List<Run>> tasks = new HashMap<>();

  Runs(Log log) {
    this.log = log;
  }

  synchronized Run started(String task, int number, String worker, long token) {
    Run run = new Run(task, number, worker, log.millis());
    tasks.computeIfAbsent(task, ignored -> new ArrayList<>()).add(run);
    log.line(worker, "starts " + task + " run " + number + " token " + token);
    return run;
  }

  synchronized void ended(Run run, String how) {
    run.endedMillis = log.millis();
    run.how = how;
    log.line(run.worker, "ends " + run.task + " run " + run.number + " " + how);
  }

  synchronized void noted(Run run) {
    run.noted = true;
    if (run.how.equals("done")) {
      // Most runs; the end is in the file already.
      return;
    }
    log.line(run.worker, "end noted " + run.task + " run " + run.number + " " + run.how);
  }

  /** Returns the runs of all tasks, in the order of their starts. */
  synchronized Map<String, List<Run>> all() {
    Map<String, List<Run>> copy = new HashMap<>();
    tasks.forEach((task, runs) -> copy.put(task, List.copyOf(runs)));
    return copy;
  }

  /** Returns whether some task of a job is running. */
  synchronized boolean anyRunning(String job) {
    for (Map.Entry<String, List<Run>> entry : tasks.entrySet()) {
      if (entry.getKey().startsWith(job)
          && entry.getValue().stream().anyMatch(run -> run.endedMillis < 0)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the jobs that have an active run on a worker. */
  synchronized Set<String> jobsOn(String worker) {
    return tasks.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().stream()
                    .anyMatch(run -> run.worker.equals(worker) && run.endedMillis < 0))
        .map(entry -> entry.getKey().substring(0, entry.getKey().indexOf('.')))
        .collect(Collectors.toSet());
  }

  /** Returns the number of runs that are active on a worker. */
  synchronized long runningOn(String worker) {
    return tasks.values().stream()
        .flatMap(List::stream)
        .filter(run -> run.worker.equals(worker) && run.endedMillis < 0)
        .count();
  }

  /** Returns whether a task of a job has ever started on a worker. */
  synchronized boolean runsOn(String worker, String job) {
    return tasks.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(job))
        .anyMatch(entry -> entry.getValue().stream().anyMatch(run -> run.worker.equals(worker)));
  }

  /** Returns whether a task of a job has ever started. */
  synchronized boolean begun(String job) {
    return tasks.keySet().stream().anyMatch(task -> task.startsWith(job));
  }

  /** Returns the number of tasks of a job with a run that ended as done. */
  synchronized long done(String job) {
    return tasks.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(job))
        .filter(entry -> entry.getValue().stream().anyMatch(run -> run.how.equals("done")))
        .count();
  }
}
