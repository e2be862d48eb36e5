package org.lovagerack.foundation.timer;

/** A pending timer callback. */
public interface TimerSubscription {

  /**
   * Prevents further calls of the callback; does nothing if it has already run or was cancelled.
   */
  void cancel();
}
