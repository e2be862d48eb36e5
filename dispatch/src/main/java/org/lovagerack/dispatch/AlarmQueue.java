package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.TreeSet;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.foundation.timer.TimerSubscription;

/**
 * Schedules any number of alarms on a single timer subscription. Most alarms are cancelled before
 * they are due, and cancelling a subscription of the timer service may be expensive.
 */
final class AlarmQueue {

  private final TimerService timer;
  private final TreeSet<Alarm> alarms = new TreeSet<>(Alarm::compare);
  private TimerSubscription subscription;
  private long subscribedNanos;
  private long nextOrder;
  private boolean running;

  AlarmQueue(TimerService timer) {
    this.timer = timer;
  }

  long now() {
    return timer.nanoTime();
  }

  Alarm at(long dueNanos, Runnable action) {
    Alarm alarm = new Alarm(dueNanos, nextOrder++, action);
    alarms.add(alarm);
    if (!running) {
      subscribe();
    }
    return alarm;
  }

  Alarm after(Duration delay, Runnable action) {
    return at(now() + delay.toNanos(), action);
  }

  /** Cancels an alarm; does nothing if it is null or has already run. */
  void cancel(Alarm alarm) {
    if (alarm != null) {
      alarms.remove(alarm);
    }
  }

  private void runDue() {
    subscription = null;
    running = true;
    try {
      while (!alarms.isEmpty() && alarms.first().dueNanos <= now()) {
        alarms.pollFirst().action.run();
      }
    } finally {
      running = false;
      subscribe();
    }
  }

  private void subscribe() {
    if (alarms.isEmpty()) {
      return;
    }
    long dueNanos = alarms.first().dueNanos;
    if (subscription != null) {
      if (subscribedNanos <= dueNanos) {
        return;
      }
      subscription.cancel();
    }
    subscribedNanos = dueNanos;
    subscription = timer.after(Duration.ofNanos(Math.max(0, dueNanos - now())), this::runDue);
  }

  /** A pending alarm. */
  static final class Alarm {
    private final long dueNanos;
    private final long order;
    private final Runnable action;

    private Alarm(long dueNanos, long order, Runnable action) {
      this.dueNanos = dueNanos;
      this.order = order;
      this.action = action;
    }

    private static int compare(Alarm first, Alarm second) {
      int byTime = Long.compare(first.dueNanos, second.dueNanos);
      return byTime != 0 ? byTime : Long.compare(first.order, second.order);
    }
  }
}
