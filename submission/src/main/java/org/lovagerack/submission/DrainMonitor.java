package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Detects the end of a drain: every accepted job is finished, and its answer was read or its linger
 * time has passed.
 */
final class DrainMonitor {

  private final TimerService timers;
  private final long lingerNanos;
  private final Map<Long, Long> unreadSinceNanos = new LinkedHashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private boolean draining;
  private int running;

  DrainMonitor(TimerService timers, Duration linger) {
    this.timers = timers;
    this.lingerNanos = linger.toNanos();
  }

  boolean isDraining() {
    return draining;
  }

  void drain(Runnable onDrained) {
    draining = true;
    listeners.add(onDrained);
    check();
  }

  void started() {
    running++;
  }

  void finished(long sequence) {
    running--;
    unreadSinceNanos.put(sequence, timers.nanoTime());
    check();
  }

  void read(long sequence) {
    if (unreadSinceNanos.remove(sequence) != null) {
      check();
    }
  }

  /** Drops finished jobs whose linger time has passed, and completes the drain if none is left. */
  void check() {
    long now = timers.nanoTime();
    Iterator<Long> oldestFirst = unreadSinceNanos.values().iterator();
    while (oldestFirst.hasNext() && now - oldestFirst.next() >= lingerNanos) {
      oldestFirst.remove();
    }
    if (draining && running == 0 && unreadSinceNanos.isEmpty()) {
      // Deferred to the next timer event, so that the last answer is sent to its reader first.
      listeners.forEach(listener -> timers.after(Duration.ZERO, listener));
      listeners.clear();
    }
  }
}
