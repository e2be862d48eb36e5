package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.job.CarriedState;
import org.lovagerack.fleet.job.EntryId;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobProgress;
import org.lovagerack.fleet.job.JobSite;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.job.LostRun;
import org.lovagerack.fleet.job.Objective;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.SubmittedJob;
import org.lovagerack.fleet.job.TaskId;

/** A job and its tasks as tracked by the shard's owner. */
final class Job {

  /** Processing phase of a job. */
  enum Phase {
    /** The job is being stored; none of its tasks may start. */
    STORING,
    ACTIVE,
    /** The final state is being stored; no further task starts. */
    ENDING,
    ENDED
  }

  /**
   * A caller that is waiting for an answer about the job.
   *
   * @param entry process with the client's connection; empty if the answer does not depend on it
   * @param callback receives the answer
   */
  record Waiter(Optional<EntryId> entry, Consumer<JobAnswer> callback) {}

  private SubmittedJob submitted;
  private final long acceptedNanos;
  private final boolean recovered;
  private final boolean repeated;
  private final Duration estimatedCriticalPath;
  private final Duration objective;
  private final List<Duration> estimatedPaths;
  private final List<Task> tasks = new ArrayList<>();
  private final int[] remainingInStep;
  private final List<UnacknowledgedResult> unacknowledgedResults = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private Phase phase;
  private JobState finalState;
  private int nextRun;
  private boolean started;
  private boolean mayHaveEarlierRuns;
  private boolean progressStored;

  Job(SubmittedJob submitted, long acceptedNanos, long token, boolean recovered, boolean repeated) {
    this.submitted = submitted;
    this.acceptedNanos = acceptedNanos;
    this.recovered = recovered;
    this.repeated = repeated;
    this.estimatedCriticalPath = Objective.estimatedCriticalPath(submitted.spec());
    this.objective = Objective.of(submitted.queue(), submitted.spec());
    this.estimatedPaths = Objective.estimatedPaths(submitted.spec());
    this.phase = recovered ? Phase.ACTIVE : Phase.STORING;
    this.nextRun =
        RunNumbers.first(submitted.acceptedByToken(), token) + submitted.site().firstRun() - 1;
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

  /** Returns where the tasks run. */
  JobSite site() {
    return submitted.site();
  }

  void site(JobSite newSite) {
    submitted = submitted.withSite(newSite);
  }

  /** Returns whether another shard runs the tasks. */
  boolean transferred() {
    return site() instanceof JobSite.Transferred;
  }

  /** Returns whether the job was accepted by another shard. */
  boolean hosted() {
    return site() instanceof JobSite.Hosted;
  }

  /** Returns the key of the job's final state in this shard. */
  String endKey() {
    return endKey(submitted);
  }

  /** Returns the key of a job's final state; each transfer to a host ends separately. */
  static String endKey(SubmittedJob job) {
    return job.site() instanceof JobSite.Hosted hosted
        ? job.id() + "@" + hosted.transfers()
        : job.id();
  }

  /** Returns the answer to those who wait for the end of the job. */
  JobAnswer finalAnswer() {
    return bestEffort() || hosted() ? new JobAnswer.State(finalState) : new JobAnswer.Cancelled();
  }

  SubmittedJob submitted() {
    return submitted;
  }

  long acceptedNanos() {
    return acceptedNanos;
  }

  /** Returns whether the job was accepted by a former owner. */
  boolean recovered() {
    return recovered;
  }

  /** Returns whether a former owner may have received the job from the same entry VM. */
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

  /** Returns the state that is reported to callers. */
  JobState reportedState() {
    if (phase == Phase.ENDED) {
      return finalState;
    }
    return started ? JobState.RUNNING : JobState.QUEUED;
  }

  /** Returns whether a run is known to have started. */
  boolean started() {
    return started;
  }

  /** Returns whether a run may have started, in another shard or in an earlier submission. */
  boolean mayHaveRun() {
    return started || mayHaveEarlierRuns;
  }

  /** Returns whether no owner, of any shard, can have started a run of any task. */
  boolean neverRan() {
    return !recovered
        && !repeated
        && !mayHaveRun()
        && !transferred()
        && tasks.stream().allMatch(task -> task.run() == null);
  }

  /** Returns whether the job would end after its useful time if it started now. */
  boolean tooLateToStart(long nowNanos) {
    return nowNanos - acceptedNanos
        > Objective.maxStartDelay(objective, submitted.spec()).toNanos();
  }

  /** Returns whether the result of the job can no longer be of use to its caller. */
  boolean uselessAt(long nowNanos) {
    return nowNanos - acceptedNanos > Objective.usefulTime(objective).toNanos();
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

  int nextRunNumber() {
    return nextRun++;
  }

  /** Returns a number greater than those of all runs so far. */
  int upcomingRunNumber() {
    return nextRun;
  }

  /** Ensures that later runs have numbers greater than {@code run}. */
  void skipRunNumber(int run) {
    nextRun = Math.max(nextRun, run + 1);
  }

  /** Returns the callers that are waiting for an answer. */
  List<Waiter> waiters() {
    return waiters;
  }

  /** Returns the results that are not durable yet and must not be acknowledged. */
  List<UnacknowledgedResult> unacknowledgedResults() {
    return unacknowledgedResults;
  }

  Task task(TaskId taskId) {
    for (Task task : tasks) {
      if (task.id().equals(taskId)) {
        return task;
      }
    }
    return null;
  }

  /** Returns whether all tasks of the steps that the task depends on are done. */
  boolean isReady(Task task) {
    for (int step : task.step().after()) {
      if (remainingInStep[step] > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the tasks that wait for placement and not for earlier steps. */
  Stream<Task> readyTasks() {
    return tasks.stream().filter(task -> task.phase() == Task.Phase.WAITING && isReady(task));
  }

  void markTaskDone(Task task) {
    if (task.phase() != Task.Phase.DONE) {
      started = true;
      task.markDone();
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

  /** Returns the caller's estimate of the duration of the critical path. */
  Duration estimatedCriticalPath() {
    return estimatedCriticalPath;
  }

  /**
   * Returns the caller's estimate of the longest sequence of dependent steps that starts with a
   * step.
   */
  Duration estimatedPathFrom(int step) {
    return estimatedPaths.get(step);
  }

  /** Returns the response time objective of the job. */
  Duration objective() {
    return objective;
  }

  /**
   * Returns the progress of the job.
   *
   * @param nowMillis current time, Unix milliseconds
   */
  JobProgress progress(long nowMillis) {
    List<Integer> done = new ArrayList<>();
    Map<Integer, List<Integer>> failed = new HashMap<>();
    Map<Integer, List<LostRun>> lost = new HashMap<>();
    for (Task task : tasks) {
      if (task.phase() == Task.Phase.DONE) {
        done.add(task.number());
      }
      if (!task.failedRuns().isEmpty()) {
        failed.put(task.number(), List.copyOf(task.failedRuns()));
      }
      if (!task.losses().isEmpty()) {
        lost.put(task.number(), task.losses().runs());
      }
    }
    return new JobProgress(done, failed, lost, started, nowMillis);
  }

  /**
   * Returns what the job takes along to another shard.
   *
   * @param nowMillis current time, Unix milliseconds
   */
  CarriedState carriedState(long nowMillis) {
    return new CarriedState(progress(nowMillis), nextRun);
  }

  /** Takes over what the job has run in another shard. */
  void takeOver(CarriedState carried, long nowNanos) {
    restore(carried.progress(), nowNanos);
    skipRunNumber(carried.nextRun() - 1);
    mayHaveEarlierRuns |= carried.mayHaveRun();
  }

  /** Returns the steps with tasks that are not done. */
  Stream<StepSpec> remainingSteps() {
    return IntStream.range(0, remainingInStep.length)
        .filter(step -> remainingInStep[step] > 0)
        .mapToObj(submitted.spec().steps()::get);
  }

  /** Restores the lost runs of the tasks. */
  void restoreLosses(JobProgress progress, long nowNanos) {
    progressStored = true;
    mayHaveEarlierRuns |= !progress.lostRuns().isEmpty();
    progress
        .lostRuns()
        .forEach(
            (number, runs) -> {
              if (number >= 0 && number < tasks.size()) {
                tasks.get(number).losses().restore(runs, nowNanos);
              }
            });
  }

  /** Restores the whole progress of the job. Progress is also stored of jobs without a run. */
  void restore(JobProgress progress, long nowNanos) {
    started |= progress.started();
    restoreLosses(progress, nowNanos);
    for (int number : progress.doneTasks()) {
      if (number >= 0 && number < tasks.size()) {
        markTaskDone(tasks.get(number));
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
