package org.lovagerack.benchmarks;

import java.time.Duration;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** Event loop of one entry VM on the common timer; while frozen, it puts every callback off. */
final class EntryLoop implements TimerService {

  private final DrivenTimer timer;
  private long frozenUntilNanos;

  EntryLoop(DrivenTimer timer) {
    this.timer = timer;
  }

  /** Runs nothing for a while, as a paused process does. */
  void freeze(Duration duration) {
    frozenUntilNanos = timer.nanoTime() + duration.toNanos();
  }

  /** Runs the callback now, or at the end of the pause. */
  void execute(Runnable callback) {
    long wait = frozenUntilNanos - timer.nanoTime();
    if (wait > 0) {
      timer.after(Duration.ofNanos(wait), callback);
    } else {
      callback.run();
    }
  }

  @Override
  public long nanoTime() {
    return timer.nanoTime();
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable callback) {
    Callback guarded = new Callback(callback);
    TimerSubscription subscription = timer.after(delay, guarded::onDue);
    return () -> guarded.cancel(subscription);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable callback) {
    Callback guarded = new Callback(callback);
    TimerSubscription subscription = timer.every(period, guarded::onDue);
    return () -> guarded.cancel(subscription);
  }

  /** A callback that runs once after a pause, however often it became due in it. */
  private final class Callback {

    private final Runnable callback;
    private boolean cancelled;
    private boolean deferred;

    private Callback(Runnable callback) {
      this.callback = callback;
    }

    private void onDue() {
      if (deferred) {
        return;
      }
      deferred = true;
      execute(this::run);
    }

    private void run() {
      deferred = false;
      if (!cancelled) {
        callback.run();
      }
    }

    private void cancel(TimerSubscription subscription) {
      cancelled = true;
      subscription.cancel();
    }
  }
}
