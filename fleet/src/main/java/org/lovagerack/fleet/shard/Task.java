package org.lovagerack.fleet.shard;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.WorkerId;

/** A task of a job as tracked by the shard's owner. */
final class Task {

  /** Processing phase of a task. */
  enum Phase {
    /** Waiting for placement or for earlier steps. */
    WAITING,
    /** A run is active, is being started, or may still become active. */
    ASSIGNED,
    DONE
  }

  private final Job job;
  private final TaskId id;
  private final int number;
  private final StepSpec step;
  private final SortedSet<Integer> failedRuns = new TreeSet<>();
  private final Set<WorkerId> failedOn = new HashSet<>();
  private final TaskLosses losses = new TaskLosses();
  private Phase phase = Phase.WAITING;
  private boolean stalled;
  private TaskRun run;
  private WorkerSession worker;

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

  /** Returns the index of the task among all tasks of its job. */
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
  WorkerSession worker() {
    return worker;
  }

  Set<WorkerId> failedOn() {
    return failedOn;
  }

  SortedSet<Integer> failedRuns() {
    return failedRuns;
  }

  /** Returns the runs that ended with their worker. */
  TaskLosses losses() {
    return losses;
  }

  /**
   * Returns whether a run was stopped because it made no progress. A task is moved only once for
   * that reason, in case its progress cannot be judged.
   */
  boolean stalled() {
    return stalled;
  }

  void markStalled() {
    stalled = true;
  }

  boolean isCurrent(TaskRun other) {
    return phase == Phase.ASSIGNED && other.equals(run);
  }

  void assign(TaskRun newRun, WorkerSession newWorker) {
    phase = Phase.ASSIGNED;
    run = newRun;
    worker = newWorker;
  }

  void requeue() {
    phase = Phase.WAITING;
    worker = null;
  }

  void markDone() {
    phase = Phase.DONE;
    worker = null;
  }
}
