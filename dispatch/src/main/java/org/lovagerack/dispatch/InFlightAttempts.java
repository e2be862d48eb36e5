package org.lovagerack.dispatch;

/** Tracks attempts in flight and the slots that they occupy. */
final class InFlightAttempts {

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  InFlightAttempts(
      AlarmQueue alarms,
      RoutingBatch routing,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.routing = routing;
    this.settings = settings;
    this.observer = observer;
  }

  /** Adds an attempt and occupies a slot of its upstream. */
  void open(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    attempt.task().inFlight().add(attempt);
    service.releases().add(attempt);
    attempt.upstream().slotTaken(alarms.now());
    service.pool().update(attempt.upstream());
  }

  /** Removes an attempt that has a result and releases its slot. */
  void close(AttemptState attempt) {
    detach(attempt);
    releaseSlot(attempt);
  }

  /** Cancels an attempt that exceeded the maximum run time, and releases its slot immediately. */
  void giveUp(AttemptState attempt) {
    close(attempt);
    attempt.handle().cancel();
  }

  /**
   * Cancels an attempt that is no longer needed. Its slot stays occupied for a limited time,
   * because the upstream may still be running the task.
   */
  void cancel(AttemptState attempt) {
    detach(attempt);
    attempt.handle().cancel();
    long now = alarms.now();
    observeUnfinished(attempt, now);
    if (attempt.reason() == StartReason.PROBE
        && attempt.upstream().health().state() == UpstreamHealth.State.PROBING) {
      attempt.upstream().health().markProbeDue();
    }
    String service = attempt.task().service().name();
    observer.attemptCancelled(service, attempt.upstream().address());
    long expectedEnd = attempt.startedNanos() + (long) attempt.expectedNanos();
    long occupiedNanos = Math.min(expectedEnd - now, settings.maxCancelledSlotTime().toNanos());
    if (occupiedNanos > 0) {
      alarms.at(now + occupiedNanos, () -> routing.run(() -> releaseSlot(attempt)));
    } else {
      releaseSlot(attempt);
    }
  }

  /** Updates the speed estimate with the age of an attempt as a lower bound of its run time. */
  void observeUnfinished(AttemptState attempt, long nowNanos) {
    double elapsed = Math.max(1, nowNanos - attempt.startedNanos());
    SpeedEstimate speed = attempt.upstream().speed();
    speed.observeAtLeast(Math.log(elapsed), Math.log(attempt.task().work()));
  }

  private void detach(AttemptState attempt) {
    attempt.finish();
    alarms.cancel(attempt.check());
    attempt.task().inFlight().remove(attempt);
    attempt.task().service().releases().remove(attempt);
  }

  private void releaseSlot(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    attempt.upstream().slotReleased(alarms.now());
    service.pool().update(attempt.upstream());
    routing.markChanged(service);
  }
}
