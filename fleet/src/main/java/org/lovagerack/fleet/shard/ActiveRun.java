package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.job.Resources;

/** State of one run on one worker, as tracked by an owner. Times are monotonic nanoseconds. */
final class ActiveRun {

  private final long createdNanos;
  private final boolean durable;
  private final boolean alone;
  private Resources resources;
  private boolean confirmed;
  private long confirmedNanos;
  private boolean startUnanswered;
  private boolean unclaimed;
  private boolean revoked;
  private boolean stopping;
  private boolean stopConfirmed;
  private long stopConfirmedNanos;
  private boolean endExpected;
  private int percent;
  private long percentSinceMillis;
  private long progressStartMillis;

  private ActiveRun(Resources resources, boolean durable, boolean alone, long createdNanos) {
    this.resources = resources;
    this.durable = durable;
    this.alone = alone;
    this.createdNanos = createdNanos;
  }

  /**
   * Returns a run whose start request is being sent.
   *
   * @param durable whether its job is durable
   */
  static ActiveRun starting(Resources resources, boolean durable, boolean alone, long nowNanos) {
    return new ActiveRun(resources, durable, alone, nowNanos);
  }

  /**
   * Returns a run that a worker reported but this owner did not start.
   *
   * @param durable whether its job is known to be durable
   * @param unclaimed whether the job of the run is still unknown
   */
  static ActiveRun inherited(
      Resources resources, boolean durable, boolean unclaimed, long nowNanos) {
    ActiveRun run = new ActiveRun(resources, durable, false, nowNanos);
    run.markConfirmed(nowNanos);
    run.unclaimed = unclaimed;
    return run;
  }

  Resources resources() {
    return resources;
  }

  /** Sets the resources of the run when its job has been identified. */
  void claim(Resources known) {
    resources = known;
    unclaimed = false;
  }

  /** Returns whether the worker accepts no further tasks until the run has ended. */
  boolean alone() {
    return alone;
  }

  /** Returns whether the job of the run is durable, so that only a valid lease may extend it. */
  boolean durable() {
    return durable;
  }

  /** Marks that another owner may start the task, so that the run must not outlast its lease. */
  void revoke() {
    revoked = true;
  }

  /**
   * Returns whether the lease of the run must not be extended, because another owner may treat it
   * as ended when the lease expires.
   */
  boolean mustLapse() {
    return unclaimed || revoked;
  }

  void markConfirmed(long nowNanos) {
    confirmed = true;
    confirmedNanos = nowNanos;
  }

  /** Marks that the run starts at a time of the worker's clock. */
  void markProgressStart(long workerClockMillis) {
    percentSinceMillis = workerClockMillis;
    progressStartMillis = workerClockMillis;
  }

  /** Records the listed progress; returns for how long it has been the same. */
  Duration recordProgress(int listedPercent, long workerClockMillis) {
    if (listedPercent != percent || percentSinceMillis == 0) {
      percent = listedPercent;
      percentSinceMillis = workerClockMillis;
    }
    return Duration.ofMillis(workerClockMillis - percentSinceMillis);
  }

  /** Returns the progress since a known start, percent; 0 if the start is unknown. */
  int percent() {
    return progressStartMillis == 0 ? 0 : percent;
  }

  /** Returns the time between the start and the report that first listed {@link #percent}. */
  long millisUntilPercent() {
    return percentSinceMillis - progressStartMillis;
  }

  /** Returns when the run started, as far as this owner knows. */
  long startedNanos() {
    return confirmed ? confirmedNanos : createdNanos;
  }

  boolean confirmed() {
    return confirmed;
  }

  long confirmedNanos() {
    return confirmedNanos;
  }

  /** Marks that the start request was not answered, so the worker may still receive it. */
  void markStartUnanswered() {
    startUnanswered = true;
    stopping = true;
  }

  /** Returns whether a report that lists the run confirms that its start request arrived. */
  boolean awaitsConfirmation() {
    return !confirmed && !startUnanswered;
  }

  boolean stopping() {
    return stopping;
  }

  void markStopping() {
    stopping = true;
  }

  void markStopConfirmed(long nowNanos) {
    stopConfirmed = true;
    stopConfirmedNanos = nowNanos;
  }

  /** Marks that the worker listed the run as running after it had confirmed the stop. */
  void markListed(long reportSentNanos) {
    if (stopConfirmed && reportSentNanos - stopConfirmedNanos > 0) {
      endExpected = true;
    }
  }

  /**
   * Returns whether the worker has confirmed the stop but may not be running the run, in which case
   * it never reports an end.
   */
  boolean stoppedWithoutExpectedEnd() {
    return stopConfirmed && !confirmed && !endExpected;
  }

  /**
   * Returns whether a report requested at the given time must list the run if it is still running.
   */
  boolean mustBeListed(long reportSentNanos) {
    if (stopConfirmed) {
      return reportSentNanos - stopConfirmedNanos > 0;
    }
    return confirmed && reportSentNanos - confirmedNanos > 0 && reportSentNanos - createdNanos > 0;
  }
}
