package org.lovagerack.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/**
 * Timer service whose callbacks run on one Vert.x context. Delays are rounded up to whole
 * milliseconds, the resolution of Vert.x timers.
 */
public final class EventLoopTimer implements TimerService {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final Context context;

  public EventLoopTimer(Vertx vertx, Context context) {
    this.vertx = vertx;
    this.context = context;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable callback) {
    Subscription subscription = new Subscription(callback);
    long millis = roundUpToMillis(delay);
    if (millis == 0) {
      context.runOnContext(ignored -> subscription.run());
    } else {
      startOnContext(
          subscription,
          () -> subscription.timerId = vertx.setTimer(millis, ignored -> subscription.run()));
    }
    return subscription;
  }

  @Override
  public TimerSubscription every(Duration period, Runnable callback) {
    if (!period.isPositive()) {
      throw new IllegalArgumentException("timer period is not positive: " + period);
    }
    Subscription subscription = new Subscription(callback);
    startOnContext(
        subscription,
        () ->
            subscription.timerId =
                vertx.setPeriodic(roundUpToMillis(period), ignored -> subscription.run()));
    return subscription;
  }

  private void startOnContext(Subscription subscription, Runnable start) {
    if (Vertx.currentContext() == context) {
      start.run();
      return;
    }
    context.runOnContext(
        ignored -> {
          if (!subscription.cancelled) {
            start.run();
          }
        });
  }

  private static long roundUpToMillis(Duration delay) {
    return Math.max(0, Math.ceilDiv(delay.toNanos(), NANOS_PER_MILLI));
  }

  private final class Subscription implements TimerSubscription {
    private static final long NO_TIMER = -1;

    private final Runnable callback;
    private long timerId = NO_TIMER;
    private boolean cancelled;

    Subscription(Runnable callback) {
      this.callback = callback;
    }

    void run() {
      if (!cancelled) {
        callback.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (timerId != NO_TIMER) {
        vertx.cancelTimer(timerId);
      }
    }
  }
}
