package org.lovagerack.soak;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;

/** A property that faults override temporarily; the latest of overlapping overrides applies. */
final class TemporaryOverride<T> {

  private final TimerService timer;
  private final T normalValue;
  private final Consumer<T> setter;
  private long changes;

  TemporaryOverride(TimerService timer, T normalValue, Consumer<T> setter) {
    this.timer = timer;
    this.normalValue = normalValue;
    this.setter = setter;
  }

  /** Sets the property, and resets it after the duration unless it was set again meanwhile. */
  void apply(T value, Duration duration) {
    changes++;
    long change = changes;
    setter.accept(value);
    timer.after(
        duration,
        () -> {
          if (change == changes) {
            setter.accept(normalValue);
          }
        });
  }
}
