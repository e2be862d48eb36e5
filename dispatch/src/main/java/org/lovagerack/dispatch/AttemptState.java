package org.lovagerack.dispatch;

/** Mutable state of an attempt that was handed to the transport. */
final class AttemptState {

  private final TaskState task;
  private final UpstreamState upstream;
  private final StartReason reason;
  private final long id;
  private final long startedNanos;
  private final double expectedNanos;
  private final boolean freshConnection;
  private Attempt handle;
  private AlarmQueue.Alarm check;
  private boolean done;
  private boolean overdue;
  private boolean presumedLost;
  private boolean mayHedge = true;
  private long hedgePostponedNanos;
  private final boolean expectationMeasured;

  // Modified only by ExpectedReleases, because it is part of the sort key there.
  long expectedFinishNanos;

  AttemptState(
      TaskState task,
      UpstreamState upstream,
      StartReason reason,
      long id,
      long startedNanos,
      double expectedNanos) {
    this.task = task;
    this.upstream = upstream;
    this.reason = reason;
    this.id = id;
    this.startedNanos = startedNanos;
    this.expectedNanos = expectedNanos;
    this.expectedFinishNanos = startedNanos + (long) expectedNanos;
    this.freshConnection = upstream.suspect();
    this.expectationMeasured = task.service().kind(task.spec().kind()).hasEnoughObservations();
  }

  TaskState task() {
    return task;
  }

  UpstreamState upstream() {
    return upstream;
  }

  StartReason reason() {
    return reason;
  }

  long id() {
    return id;
  }

  long startedNanos() {
    return startedNanos;
  }

  double expectedNanos() {
    return expectedNanos;
  }

  boolean freshConnection() {
    return freshConnection;
  }

  Attempt handle() {
    return handle;
  }

  void setHandle(Attempt value) {
    handle = value;
  }

  AlarmQueue.Alarm check() {
    return check;
  }

  void setCheck(AlarmQueue.Alarm alarm) {
    check = alarm;
  }

  boolean done() {
    return done;
  }

  void finish() {
    done = true;
  }

  boolean overdue() {
    return overdue;
  }

  void markOverdue() {
    overdue = true;
  }

  boolean presumedLost() {
    return presumedLost;
  }

  void markPresumedLost() {
    presumedLost = true;
  }

  /**
   * Returns whether the expected run time is based on measured run times. Otherwise it is the
   * declared one, which may be ten times too short, so the age of the attempt indicates nothing.
   */
  boolean expectationMeasured() {
    return expectationMeasured;
  }

  boolean mayHedge() {
    return mayHedge;
  }

  void stopHedging() {
    mayHedge = false;
  }

  long hedgePostponedNanos() {
    return hedgePostponedNanos;
  }

  void postponeHedge(long untilNanos) {
    hedgePostponedNanos = untilNanos;
  }
}
