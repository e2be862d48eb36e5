package org.lovagerack.submission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.TimerService;

/** Tells when every accepted job is finished, and its answer was read or its linger time passed. */
final class DrainMonitor {

  private final TimerService timers;
  private final long lingerNanos;
  private final Map<Long, Long> unread = new LinkedHashMap<>();
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

  void drain(Runnable whenDrained) {
    draining = true;
    listeners.add(whenDrained);
    check();
  }

  void started() {
    running++;
  }

  void finished(long sequence) {
    running--;
    unread.put(sequence, timers.nanoTime());
    check();
  }

  void read(long sequence) {
    if (unread.remove(sequence) != null) {
      check();
    }
  }

  /** Ends the linger time of jobs that finished long enough ago, oldest first. */
  void check() {
    long now = timers.nanoTime();
    Iterator<Long> oldestFirst = unread.values().iterator();
    while (oldestFirst.hasNext() && now - oldestFirst.next() >= lingerNanos) {
      oldestFirst.remove();
    }
    if (draining && running == 0 && unread.isEmpty()) {
      // Not called directly, so that the reader of the last answer can write it first.
      listeners.forEach(listener -> timers.after(Duration.ZERO, listener));
      listeners.clear();
    }
  }
}
