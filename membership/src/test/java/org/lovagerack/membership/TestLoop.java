package org.lovagerack.membership;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** The event loop of all nodes of a test; timer time advances only while a test waits. */
final class TestLoop implements AutoCloseable, TimerService {

  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MAX_STEPS = 10_000;

  private final DrivenTimer timer = new DrivenTimer();
  private long pausedNanos;
  final ExecutorService executor = Executors.newSingleThreadExecutor();

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

  /** Advances time as if all processes were paused, so that callbacks run late. */
  void pause(Duration duration) throws Exception {
    run(() -> pausedNanos += duration.toNanos());
  }

  /** Advances time without waiting for the network. */
  void skip(Duration duration) throws Exception {
    run(() -> timer.advance(duration));
  }

  <T> T get(Callable<T> action) throws Exception {
    return executor.submit(action).get();
  }

  void run(Runnable action) throws Exception {
    executor.submit(action).get();
  }

  /** Advances timer time until a condition holds; fails if it never does. */
  void until(Callable<Boolean> condition) throws Exception {
    for (int step = 0; !get(condition); step++) {
      if (step == MAX_STEPS) {
        throw new AssertionError("the condition did not hold after " + step + " steps of " + STEP);
      }
      advance(STEP);
    }
  }

  void advance(Duration duration) throws Exception {
    for (Duration done = Duration.ZERO; done.compareTo(duration) < 0; done = done.plus(STEP)) {
      run(() -> timer.advance(STEP));
      Thread.sleep(2);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
