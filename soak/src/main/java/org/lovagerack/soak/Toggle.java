package org.lovagerack.soak;

import java.time.Duration;
import java.util.function.Consumer;
import org.lovagerack.foundation.timer.TimerService;

/** A property that a fault changes for a time; of faults that overlap, the last one counts. */
final class Toggle<T> {

  private final TimerService timer;
  private final T normal;
  private final Consumer<T> setter;
  private long changes;

  Toggle(TimerService timer, T normal, Consumer<T> setter) {
    this.timer = timer;
    this.normal = normal;
    this.setter = setter;
  }

  /** Changes the property; it is normal again after a time, unless it was changed since. */
  void change(T value, Duration lasting) {
    changes++;
    long change = changes;
    setter.accept(value);
    timer.after(
        lasting,
        () -> {
          if (change == changes) {
            setter.accept(normal);
          }
        });
  }
}
