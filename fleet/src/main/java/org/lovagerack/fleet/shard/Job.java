package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.job.TaskId;

/** A job that has not been forgotten, at the shard's owner. */
final class Job {

  /** Phase of a job. */
  enum Phase {
    /** The job is being stored; nothing of it may start. */
    STORING,
    ACTIVE,
    /** The final state is being stored; nothing more of it starts. */
    ENDING,
    ENDED
  }

  /**
   * Somebody who waits for an outcome.
   *
   * @param entry process that holds the client's connection
   * @param callback receives the answer
   */
  record Waiter(Optional<EntryId> entry, Consumer<JobAnswer> callback) {}

  private final SubmittedJob submitted;
  private final long acceptedNanos;
  private final boolean recovered;
  private final boolean repeated;
  private final Duration estimatedChain;
  private final Duration objective;
  private final List<Task> tasks = new ArrayList<>();
  private final int[] remainingInStep;
  private final List<EndReceipt> unsettledEnds = new ArrayList<>();
  private final List<Waiter> waiting = new ArrayList<>();
  private Phase phase;
  private JobState finalState;
  private int nextRun;
  private boolean started;
  private boolean progressStored;

  Job(SubmittedJob submitted, long acceptedNanos, long token, boolean recovered, boolean repeated) {
    this.submitted = submitted;
    this.acceptedNanos = acceptedNanos;
    this.recovered = recovered;
    this.repeated = repeated;
    this.estimatedChain = Objective.estimatedChain(submitted.spec());
    this.objective = Objective.of(submitted.queue(), submitted.spec());
    this.phase = recovered ? Phase.ACTIVE : Phase.STORING;
    this.nextRun = RunNumbers.first(submitted.acceptedByToken(), token);
    this.remainingInStep = new int[submitted.spec().steps().size()];
    for (int step = 0; step < remainingInStep.length; step++) {
      StepSpec spec = submitted.spec().steps().get(step);
      remainingInStep[step] = spec.taskCount();
      for (int index = 0; index < spec.taskCount(); index++) {
        tasks.add(new Task(this, new TaskId(submitted.id(), step, index), tasks.size(), spec));
      }
    }
  }

  String id() {
    return submitted.id();
  }

  Queue queue() {
    return submitted.queue();
  }

  boolean bestEffort() {
    return submitted.spec().bestEffort();
  }

  SubmittedJob submitted() {
    return submitted;
  }

  long acceptedNanos() {
    return acceptedNanos;
  }

  /** Returns whether the job was accepted by an earlier owner. */
  boolean recovered() {
    return recovered;
  }

  /** Returns whether an earlier owner may have received the job from the same entry VM. */
  boolean repeated() {
    return repeated;
  }

  List<Task> tasks() {
    return tasks;
  }

  Phase phase() {
    return phase;
  }

  void phase(Phase newPhase) {
    phase = newPhase;
  }

  /** Returns the final state; null before it is decided. */
  JobState finalState() {
    return finalState;
  }

  void finalState(JobState state) {
    finalState = state;
  }

  /** Returns the state that callers are shown. */
  JobState shownState() {
    if (phase == Phase.ENDED) {
      return finalState;
    }
    return started ? JobState.RUNNING : JobState.QUEUED;
  }

  boolean started() {
    return started;
  }

  /** Returns whether no owner can have ordered a run of a task. */
  boolean certainlyNotRun() {
    return !recovered
        && !repeated
        && !started
        && tasks.stream().allMatch(task -> task.run() == null);
  }

  /** Returns whether the job, if it started now, would end too late to be of use. */
  boolean tooLateToStart(long nowNanos) {
    return nowNanos - acceptedNanos > Objective.timeToStart(objective, submitted.spec()).toNanos();
  }

  void markStarted() {
    started = true;
  }

  boolean progressStored() {
    return progressStored;
  }

  void markProgressStored() {
    progressStored = true;
  }

  int takeRunNumber() {
    return nextRun++;
  }

  /** Makes later runs have greater numbers than {@code run}. */
  void skipRunNumber(int run) {
    nextRun = Math.max(nextRun, run + 1);
  }

  /** Returns callers that wait for the outcome of what is being stored. */
  List<Waiter> waiting() {
    return waiting;
  }

  /** Returns the ends that are not durable yet. */
  List<EndReceipt> unsettledEnds() {
    return unsettledEnds;
  }

  Task task(TaskId taskId) {
    for (Task task : tasks) {
      if (task.id().equals(taskId)) {
        return task;
      }
    }
    return null;
  }

  /** Returns whether all tasks of the steps that the task waits for are done. */
  boolean ready(Task task) {
    for (int step : task.step().after()) {
      if (remainingInStep[step] > 0) {
        return false;
      }
    }
    return true;
  }

  void taskDone(Task task) {
    if (task.phase() != Task.Phase.DONE) {
      task.done();
      remainingInStep[task.id().step()]--;
    }
  }

  boolean allDone() {
    for (int remaining : remainingInStep) {
      if (remaining > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the caller's estimate of the longest chain of tasks. */
  Duration estimatedChain() {
    return estimatedChain;
  }

  /** Returns the time within which the caller wants the job to end. */
  Duration objective() {
    return objective;
  }

  JobProgress progress() {
    List<Integer> done = new ArrayList<>();
    Map<Integer, List<Integer>> failed = new HashMap<>();
    for (Task task : tasks) {
      if (task.phase() == Task.Phase.DONE) {
        done.add(task.number());
      }
      if (!task.failedRuns().isEmpty()) {
        failed.put(task.number(), List.copyOf(task.failedRuns()));
      }
    }
    return new JobProgress(done, failed);
  }

  void restore(JobProgress progress) {
    progressStored = true;
    started = true;
    for (int number : progress.doneTasks()) {
      if (number >= 0 && number < tasks.size()) {
        taskDone(tasks.get(number));
      }
    }
    progress
        .failedRuns()
        .forEach(
            (number, runs) -> {
              if (number >= 0 && number < tasks.size()) {
                tasks.get(number).failedRuns().addAll(runs);
                runs.forEach(this::skipRunNumber);
              }
            });
  }
}
