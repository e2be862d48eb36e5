package org.lovagerack.fleet.shard;

import org.lovagerack.fleet.job.Resources;

/** What an owner knows of one run on one worker. Times are monotonic nanoseconds. */
final class ActiveRun {

  private final long orderedNanos;
  private Resources resources;
  private boolean confirmed;
  private long confirmedNanos;
  private boolean doubtful;
  private boolean unclaimed;
  private boolean stopping;
  private boolean stopConfirmed;
  private long stopConfirmedNanos;

  private ActiveRun(Resources resources, long orderedNanos) {
    this.resources = resources;
    this.orderedNanos = orderedNanos;
  }

  /** Returns a run that is being ordered. */
  static ActiveRun ordered(Resources resources, long nowNanos) {
    return new ActiveRun(resources, nowNanos);
  }

  /**
   * Returns a run that a worker listed and this owner did not order.
   *
   * @param unclaimed whether its job is not known yet
   */
  static ActiveRun found(Resources resources, boolean unclaimed, long nowNanos) {
    ActiveRun run = new ActiveRun(resources, nowNanos);
    run.confirm(nowNanos);
    run.unclaimed = unclaimed;
    return run;
  }

  Resources resources() {
    return resources;
  }

  /** The job of the run became known. */
  void claim(Resources known) {
    resources = known;
    unclaimed = false;
  }

  boolean unclaimed() {
    return unclaimed;
  }

  void confirm(long nowNanos) {
    confirmed = true;
    confirmedNanos = nowNanos;
  }

  boolean confirmed() {
    return confirmed;
  }

  long confirmedNanos() {
    return confirmedNanos;
  }

  /** The start was not answered, so that it may still arrive. */
  void doubt() {
    doubtful = true;
    stopping = true;
  }

  /** Returns whether a report that lists the run shows that its start arrived. */
  boolean awaitsConfirmation() {
    return !confirmed && !doubtful;
  }

  boolean stopping() {
    return stopping;
  }

  void stop() {
    stopping = true;
  }

  void confirmStop(long nowNanos) {
    stopConfirmed = true;
    stopConfirmedNanos = nowNanos;
  }

  boolean stopConfirmed() {
    return stopConfirmed;
  }

  /** Returns whether a report asked for at a time must list the run unless it is not there. */
  boolean shouldHaveBeenSeen(long sentNanos) {
    if (stopConfirmed) {
      return sentNanos - stopConfirmedNanos > 0;
    }
    return confirmed && sentNanos - confirmedNanos > 0 && sentNanos - orderedNanos > 0;
  }
}
