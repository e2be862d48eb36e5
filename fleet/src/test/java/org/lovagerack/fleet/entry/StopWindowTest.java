package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;

/** Guards which jobs are refused by a process that stops. */
final class StopWindowTest {

  private final FakeFleet fleet = new FakeFleet(1, Duration.ofMillis(50));
  private final StopWindow window = new StopWindow(fleet.timer);

  /** Its objective is 1.5 s: 0.9 s of work, stretched by 1.6, and 60 ms. */
  private final Submission longJob = FakeFleet.job("long", 4, 900, true);

  private final Submission shortJob = FakeFleet.job("short", 8, 60, true);

  @Test
  void processThatDoesNotStopTakesAllJobs() {
    assertThat(window.begun()).isFalse();
    assertThat(window.admits(longJob)).isTrue();
  }

  @Test
  void jobsAreTakenWhileTheyCanMeetTheirObjective() {
    window.begin(Duration.ofSeconds(5));
    assertThat(window.begun()).isTrue();
    fleet.timer.advance(Duration.ofMillis(3400));
    assertThat(window.admits(longJob)).isTrue();

    fleet.timer.advance(Duration.ofMillis(200));
    assertThat(window.admits(longJob)).isFalse();
    assertThat(window.admits(shortJob)).isTrue();

    fleet.timer.advance(Duration.ofMillis(1300));
    assertThat(window.admits(shortJob)).isFalse();
  }
}
