package org.lovagerack.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/** What clients and workers have seen of one job. */
final class JobHistory {

  /** How one attempt to submit a job ended. */
  enum Attempt {
    /** The answer was a success. */
    ACCEPTED,
    /** The answer says that the job was not run. */
    REFUSED,
    /** No whole answer came, or one that leaves open what became of the job. */
    UNKNOWN
  }

  private final String id;
  private final boolean kept;
  private final int tasks;
  private final List<Attempt> attempts = new ArrayList<>();
  private final Set<String> startedTasks = new HashSet<>();
  private final Set<String> doneTasks = new HashSet<>();
  private int failedRuns;
  private OptionalLong acceptedNanos = OptionalLong.empty();
  private OptionalLong cancelledNanos = OptionalLong.empty();
  private boolean cancelTried;
  private boolean ended;

  /**
   * Creates a history.
   *
   * @param kept whether a success means that the job is stored
   */
  JobHistory(String id, boolean kept, int tasks) {
    this.id = id;
    this.kept = kept;
    this.tasks = tasks;
  }

  String id() {
    return id;
  }

  boolean isKept() {
    return kept;
  }

  int tasks() {
    return tasks;
  }

  /** Returns what the workers get as the specification of each task. */
  String specification() {
    return "work of " + id;
  }

  void addAttempt(Attempt attempt, long nanos) {
    attempts.add(attempt);
    if (attempt == Attempt.ACCEPTED && acceptedNanos.isEmpty()) {
      acceptedNanos = OptionalLong.of(nanos);
    }
  }

  /** Returns when a client first learned that the job was accepted, monotonic nanoseconds. */
  OptionalLong acceptedNanos() {
    return acceptedNanos;
  }

  boolean wasAccepted() {
    return attempts.contains(Attempt.ACCEPTED);
  }

  /** Returns whether every attempt got an answer that says that the job was not run. */
  boolean wasRefused() {
    return !attempts.isEmpty() && attempts.stream().allMatch(Attempt.REFUSED::equals);
  }

  void addStart(String task) {
    startedTasks.add(task);
  }

  boolean hasStarted() {
    return !startedTasks.isEmpty();
  }

  void addDone(String task) {
    doneTasks.add(task);
  }

  boolean isDone() {
    return doneTasks.size() == tasks;
  }

  void addFailedRun() {
    failedRuns++;
  }

  int failedRuns() {
    return failedRuns;
  }

  void setCancelTried() {
    cancelTried = true;
  }

  boolean wasCancelTried() {
    return cancelTried;
  }

  void setCancelled(long nanos) {
    cancelledNanos = OptionalLong.of(nanos);
  }

  OptionalLong cancelledNanos() {
    return cancelledNanos;
  }

  void setEnded() {
    ended = true;
  }

  /** Returns whether a client has seen that the job ended. */
  boolean hasEnded() {
    return ended;
  }
}
