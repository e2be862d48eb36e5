package org.lovagerack.benchmarks;

import java.time.Duration;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** Event loop of one entry VM on the shared timer. A suspended loop defers all callbacks. */
final class EntryLoop implements TimerService {

  private final DrivenTimer timer;
  private long suspendedUntilNanos;

  EntryLoop(DrivenTimer timer) {
    this.timer = timer;
  }

  /** Defers all callbacks for a duration, like a suspended process. */
  void suspend(Duration duration) {
    suspendedUntilNanos = timer.nanoTime() + duration.toNanos();
  }

  /** Runs the callback now, or when the loop is no longer suspended. */
  void execute(Runnable callback) {
    long remaining = suspendedUntilNanos - timer.nanoTime();
    if (remaining > 0) {
      timer.after(Duration.ofNanos(remaining), callback);
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
    DeferrableCallback deferrable = new DeferrableCallback(callback);
    TimerSubscription subscription = timer.after(delay, deferrable::onDue);
    return () -> deferrable.cancel(subscription);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable callback) {
    DeferrableCallback deferrable = new DeferrableCallback(callback);
    TimerSubscription subscription = timer.every(period, deferrable::onDue);
    return () -> deferrable.cancel(subscription);
  }

  /** A callback that runs once after a suspension, even if it became due several times. */
  private final class DeferrableCallback {

    private final Runnable callback;
    private boolean cancelled;
    private boolean deferred;

    private DeferrableCallback(Runnable callback) {
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
