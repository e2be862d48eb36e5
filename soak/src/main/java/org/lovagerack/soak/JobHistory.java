package org.lovagerack.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.lovagerack.platform.standin.PlatformFixtures.Step;

/** Events of one job as observed by clients and workers. */
final class JobHistory {

  /** Outcome of one attempt to submit a job. */
  enum Attempt {
    /** The response was a success. */
    ACCEPTED,
    /** The response states that the job was not run. */
    REFUSED,
    /** No complete response arrived, or one that does not show whether the job was run. */
    UNKNOWN
  }

  private final String id;
  private final boolean durable;
  private final List<Step> steps;
  private final List<Attempt> attempts = new ArrayList<>();
  private final Set<String> startedTasks = new HashSet<>();
  private final Set<String> completedTasks = new HashSet<>();
  private int failedRuns;
  private OptionalLong acceptedNanos = OptionalLong.empty();
  private OptionalLong cancelConfirmedNanos = OptionalLong.empty();
  private boolean cancelRequested;
  private boolean ended;

  /**
   * Creates a history.
   *
   * @param durable whether an accepted job is stored, unlike a best-effort job
   * @param steps steps, each of which follows the one before
   */
  JobHistory(String id, boolean durable, List<Step> steps) {
    this.id = id;
    this.durable = durable;
    this.steps = List.copyOf(steps);
  }

  String id() {
    return id;
  }

  boolean isDurable() {
    return durable;
  }

  List<Step> steps() {
    return steps;
  }

  /** Returns the specification that workers receive for each task. */
  String specification() {
    return "work of " + id;
  }

  void addAttempt(Attempt attempt, long nanos) {
    attempts.add(attempt);
    if (attempt == Attempt.ACCEPTED && acceptedNanos.isEmpty()) {
      acceptedNanos = OptionalLong.of(nanos);
    }
  }

  /** Returns when a client first learned that the job was accepted, in monotonic nanoseconds. */
  OptionalLong acceptedNanos() {
    return acceptedNanos;
  }

  boolean wasAccepted() {
    return attempts.contains(Attempt.ACCEPTED);
  }

  /** Returns whether every attempt was refused. */
  boolean wasRefused() {
    return !attempts.isEmpty() && attempts.stream().allMatch(Attempt.REFUSED::equals);
  }

  void addStartedTask(String task) {
    startedTasks.add(task);
  }

  boolean hasStarted() {
    return !startedTasks.isEmpty();
  }

  void addCompletedTask(String task) {
    completedTasks.add(task);
  }

  boolean hasCompletedAllTasks() {
    return completedTasks.size() == steps.stream().mapToInt(Step::tasks).sum();
  }

  /** Returns whether all tasks of the steps before a step have been completed. */
  boolean mayStart(int step) {
    for (int earlier = 0; earlier < step; earlier++) {
      String prefix = id + ".0." + earlier + ".";
      long completed = completedTasks.stream().filter(task -> task.startsWith(prefix)).count();
      if (completed < steps.get(earlier).tasks()) {
        return false;
      }
    }
    return true;
  }

  void addFailedRun() {
    failedRuns++;
  }

  int failedRuns() {
    return failedRuns;
  }

  void setCancelRequested() {
    cancelRequested = true;
  }

  boolean wasCancelRequested() {
    return cancelRequested;
  }

  void setCancelConfirmed(long nanos) {
    cancelConfirmedNanos = OptionalLong.of(nanos);
  }

  OptionalLong cancelConfirmedNanos() {
    return cancelConfirmedNanos;
  }

  void setEnded() {
    ended = true;
  }

  /** Returns whether a client has seen an end state of the job. */
  boolean hasEnded() {
    return ended;
  }
}
