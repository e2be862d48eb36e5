package org.lovagerack.dispatch;

import java.time.Duration;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** A simulated timer whose clock can jump, as after a process pause, which delays callbacks. */
final class PausableTimer implements TimerService {

  private final DrivenTimer timer = new DrivenTimer();
  private long pausedNanos;

  @Override
  public long nanoTime() {
    return timer.nanoTime() + pausedNanos;
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable callback) {
    return timer.after(delay, callback);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable callback) {
    return timer.every(period, callback);
  }

  void advance(Duration duration) {
    timer.advance(duration);
  }

  /** Advances the clock without running callbacks. */
  void pause(Duration duration) {
    pausedNanos += duration.toNanos();
  }

  int pending() {
    return timer.pending();
  }
}
