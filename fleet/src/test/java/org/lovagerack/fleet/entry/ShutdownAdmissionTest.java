package org.lovagerack.fleet.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.support.FakeFleet;

/** Tests which jobs a process refuses while it shuts down. */
final class ShutdownAdmissionTest {

  private final FakeFleet fleet = new FakeFleet(1, Duration.ofMillis(50));
  private final ShutdownAdmission admission = new ShutdownAdmission(fleet.timer);

  /** Its objective is 1.5 s: 0.9 s of work times 1.6, plus 60 ms. */
  private final Submission longJob = FakeFleet.job("long", 4, 900, true);

  private final Submission shortJob = FakeFleet.job("short", 8, 60, true);

  @Test
  void runningProcessAcceptsAllJobs() {
    assertThat(admission.shuttingDown()).isFalse();
    assertThat(admission.admits(longJob)).isTrue();
  }

  @Test
  void jobsAreAcceptedWhileTheyCanMeetTheirObjective() {
    admission.begin(Duration.ofSeconds(5));
    assertThat(admission.shuttingDown()).isTrue();
    fleet.timer.advance(Duration.ofMillis(3400));
    assertThat(admission.admits(longJob)).isTrue();

    fleet.timer.advance(Duration.ofMillis(200));
    assertThat(admission.admits(longJob)).isFalse();
    assertThat(admission.admits(shortJob)).isTrue();

    fleet.timer.advance(Duration.ofMillis(1300));
    assertThat(admission.admits(shortJob)).isFalse();
  }
}
