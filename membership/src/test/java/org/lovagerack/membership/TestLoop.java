package org.lovagerack.membership;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/** The event loop of all nodes of a test; timer time passes only while a test waits or advances. */
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

  /** Lets time pass as if all processes were paused: callbacks run late. */
  void pause(Duration duration) throws Exception {
    run(() -> pausedNanos += duration.toNanos());
  }

  /** Lets time pass without waiting for the network. */
  void skip(Duration duration) throws Exception {
    run(() -> timer.advance(duration));
  }

  <T> T get(Callable<T> action) throws Exception {
    return executor.submit(action).get();
  }

  void run(Runnable action) throws Exception {
    executor.submit(action).get();
  }

  /** Lets timer time pass until a condition holds, and fails after a long time without it. */
  void until(Callable<Boolean> condition) throws Exception {
    for (int steps = 0; !get(condition); steps++) {
      if (steps == MAX_STEPS) {
        throw new AssertionError("the condition did not hold after " + steps + " steps of " + STEP);
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
