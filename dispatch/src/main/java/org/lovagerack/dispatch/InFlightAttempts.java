package org.lovagerack.dispatch;

/** Books the slots of attempts from their start to their end. */
final class InFlightAttempts {

  private final AlarmQueue alarms;
  private final Turn turn;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  InFlightAttempts(
      AlarmQueue alarms, Turn turn, DispatchSettings settings, DispatchObserver observer) {
    this.alarms = alarms;
    this.turn = turn;
    this.settings = settings;
    this.observer = observer;
  }

  void open(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    attempt.task().inFlight().add(attempt);
    service.releases().add(attempt);
    attempt.upstream().slotTaken(alarms.now());
    service.pool().update(attempt.upstream());
  }

  /** Ends an attempt that has a result. */
  void close(AttemptState attempt) {
    detach(attempt);
    releaseSlot(attempt);
  }

  /** Ends an attempt at the transport whose run time is over; its slot is free at once. */
  void giveUp(AttemptState attempt) {
    close(attempt);
    attempt.handle().cancel();
  }

  /** Ends an attempt that is no longer needed. Its upstream may still run the task for a while. */
  void cancel(AttemptState attempt) {
    detach(attempt);
    attempt.handle().cancel();
    long now = alarms.now();
    learnFromUnfinished(attempt, now);
    if (attempt.reason() == StartReason.PROBE
        && attempt.upstream().health().state() == UpstreamHealth.State.PROBING) {
      attempt.upstream().health().probeDue();
    }
    String service = attempt.task().service().name();
    observer.attemptCancelled(service, attempt.upstream().address());
    long expectedEnd = attempt.startedNanos() + (long) attempt.expectedNanos();
    long holdNanos = Math.min(expectedEnd - now, settings.cancelledSlotHold().toNanos());
    if (holdNanos > 0) {
      alarms.at(now + holdNanos, () -> turn.run(() -> releaseSlot(attempt)));
    } else {
      releaseSlot(attempt);
    }
  }

  /** Learns that an attempt took at least as long as it has run. */
  void learnFromUnfinished(AttemptState attempt, long nowNanos) {
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
    turn.changed(service);
  }
}
