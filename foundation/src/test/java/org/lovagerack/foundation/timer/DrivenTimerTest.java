package org.lovagerack.foundation.timer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against callbacks that run out of order, which would make seeded tests irreproducible. */
final class DrivenTimerTest {

  private final DrivenTimer timer = new DrivenTimer();
  private final List<String> calls = new ArrayList<>();

  @Test
  void runsCallbacksInOrderOfTimeThenOfSubscription() {
    timer.after(Duration.ofMillis(2), () -> calls.add("late"));
    timer.after(Duration.ofMillis(1), () -> calls.add("first"));
    timer.after(Duration.ofMillis(1), () -> calls.add("second"));

    timer.advance(Duration.ofMillis(2));

    assertThat(calls).containsExactly("first", "second", "late");
  }

  @Test
  void doesNotRunCancelledCallbacks() {
    timer.after(Duration.ofMillis(1), () -> calls.add("cancelled")).cancel();
    TimerSubscription periodic = timer.every(Duration.ofMillis(1), () -> calls.add("periodic"));
    timer.advance(Duration.ofMillis(2));
    periodic.cancel();

    timer.advance(Duration.ofMillis(5));

    assertThat(calls).containsExactly("periodic", "periodic");
  }

  @Test
  void rejectsPeriodThatIsNotPositive() {
    assertThatThrownBy(() -> timer.every(Duration.ZERO, () -> {}))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("PT0S");
  }
}
