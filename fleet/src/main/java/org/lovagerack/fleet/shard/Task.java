package org.lovagerack.fleet.shard;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.WorkerId;

/** A task of a job at the shard's owner. */
final class Task {

  /** Phase of a task. */
  enum Phase {
    /** To be placed, or waiting for earlier steps. */
    WAITING,
    /** A run is ordered, at work, or cannot be excluded yet. */
    ASSIGNED,
    DONE
  }

  private final Job job;
  private final TaskId id;
  private final int number;
  private final StepSpec step;
  private final SortedSet<Integer> failedRuns = new TreeSet<>();
  private final Set<WorkerId> failedOn = new HashSet<>();
  private Phase phase = Phase.WAITING;
  private TaskRun run;
  private WorkerLink worker;

  Task(Job job, TaskId id, int number, StepSpec step) {
    this.job = job;
    this.id = id;
    this.number = number;
    this.step = step;
  }

  Job job() {
    return job;
  }

  TaskId id() {
    return id;
  }

  /** Returns the number of the task through all steps of its job. */
  int number() {
    return number;
  }

  StepSpec step() {
    return step;
  }

  Phase phase() {
    return phase;
  }

  /** Returns the current run; null before the first one. */
  TaskRun run() {
    return run;
  }

  /** Returns the worker of the current run; null unless the task is assigned. */
  WorkerLink worker() {
    return worker;
  }

  Set<WorkerId> failedOn() {
    return failedOn;
  }

  SortedSet<Integer> failedRuns() {
    return failedRuns;
  }

  boolean isCurrent(TaskRun other) {
    return phase == Phase.ASSIGNED && other.equals(run);
  }

  void assign(TaskRun newRun, WorkerLink newWorker) {
    phase = Phase.ASSIGNED;
    run = newRun;
    worker = newWorker;
  }

  void waitAgain() {
    phase = Phase.WAITING;
    worker = null;
  }

  void done() {
    phase = Phase.DONE;
    worker = null;
  }
}
