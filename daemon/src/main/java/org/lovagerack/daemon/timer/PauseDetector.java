package org.lovagerack.daemon.timer;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Detects that the process did not run for some time, for example because its VM was suspended.
 * State received before such a pause may be out of date.
 */
public final class PauseDetector {

  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

  private final TimerService timer;
  private final Consumer<Duration> listener;
  private long lastCheckNanos;

  /**
   * Creates a detector.
   *
   * @param timer schedules the checks
   * @param listener receives the duration of each pause
   */
  public PauseDetector(TimerService timer, Consumer<Duration> listener) {
    this.timer = timer;
    this.listener = listener;
  }

  /** Starts the periodic checks. */
  public void start() {
    lastCheckNanos = timer.nanoTime();
    timer.every(CHECK_PERIOD, this::check);
  }

  /**
   * Reports a pause if too much time has passed since the last check. Called periodically, and
   * before work that must not rely on state from before a pause.
   */
  public void check() {
    long now = timer.nanoTime();
    Duration gap = Duration.ofNanos(now - lastCheckNanos);
    lastCheckNanos = now;
    if (gap.compareTo(PAUSE_THRESHOLD) > 0) {
      listener.accept(gap);
    }
  }
}
