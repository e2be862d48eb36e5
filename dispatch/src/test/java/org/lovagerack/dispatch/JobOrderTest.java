package org.lovagerack.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the order of the tasks of admitted jobs. */
final class JobOrderTest {

  private final DispatcherFixture fixture = DispatcherFixture.withFastAndSlow();

  /** Guards against jobs with a long deadline that wait behind every later job with a short one. */
  @Test
  void jobWithLongDeadlineGoesBeforeMuchLaterJobWithShortDeadline() {
    fixture.submit("busy1", false, false, 10_000);
    fixture.submit("busy2", false, false, 10_000);
    fixture.advance(0);
    submitJob("early", 100_000);
    fixture.advance(2_000);
    submitJob("late", 3_000);
    fixture.advance(0);

    fixture.openAttempt("busy1").succeed();

    assertThat(fixture.keysOfOpenAttempts()).containsExactly("busy2", "early");
  }

  private void submitJob(String key, long deadlineMillis) {
    long deadline = fixture.timer.nanoTime() + Duration.ofMillis(deadlineMillis).toNanos();
    AdmissionRequest job =
        new AdmissionRequest(
            Definitions.SERVICE, "bulletin", "team", false, 1, Duration.ofMillis(100), deadline);
    assertThat(fixture.dispatcher.admit(job)).isEmpty();
    fixture.submit(Definitions.task(key, false, false, deadline));
  }
}
