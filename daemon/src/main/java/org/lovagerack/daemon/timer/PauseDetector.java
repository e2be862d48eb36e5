package org.lovagerack.daemon.timer;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Detects that the process did not run for a while, for example because its VM was frozen. What the
 * process knew before such a pause may be out of date.
 */
public final class PauseDetector {

  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration THRESHOLD = Duration.ofSeconds(1);

  private final TimerService timer;
  private final Consumer<Duration> listener;
  private long lastTickNanos;

  /**
   * Creates a detector.
   *
   * @param timer source of time
   * @param listener receives the length of each pause
   */
  public PauseDetector(TimerService timer, Consumer<Duration> listener) {
    this.timer = timer;
    this.listener = listener;
  }

  /** Starts watching. */
  public void start() {
    lastTickNanos = timer.nanoTime();
    timer.every(TICK, this::check);
  }

  /**
   * Reports a pause if the last check is too long ago. Called on every tick, and before work that
   * must not rely on knowledge from before a pause.
   */
  public void check() {
    long now = timer.nanoTime();
    Duration gap = Duration.ofNanos(now - lastTickNanos);
    lastTickNanos = now;
    if (gap.compareTo(THRESHOLD) > 0) {
      listener.accept(gap);
    }
  }
}
