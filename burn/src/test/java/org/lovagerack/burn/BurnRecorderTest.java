package org.lovagerack.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Guards against jobs that are lost, counted twice, or still counted after the window ends. */
final class BurnRecorderTest {

  /** A job and the time at which it was recorded. */
  private record Recorded(TestJob job, long nanos) {}

  private final DrivenTimer timer = new DrivenTimer();

  /** A window has 30 slots, so it may omit jobs in the oldest thirtieth of its length. */
  @Property(tries = 300, seed = "11")
  void everyWindowContainsTheJobsOfItsLength(@ForAll("jobs") List<TestJob> jobs) {
    DrivenTimer propertyTimer = new DrivenTimer();
    BurnRecorder recorder = TestJob.recorder(propertyTimer);
    List<Recorded> recordedJobs = new ArrayList<>();
    for (TestJob job : jobs) {
      propertyTimer.advance(job.pause());
      job.recordIn(recorder);
      recordedJobs.add(new Recorded(job, propertyTimer.nanoTime()));
      assertCountsMatch(recordedJobs, recorder.snapshot(), propertyTimer.nanoTime());
    }
  }

  private static void assertCountsMatch(
      List<Recorded> recordedJobs, BurnSnapshot snapshot, long now) {
    for (Map.Entry<String, ServiceBurn> service : snapshot.services().entrySet()) {
      for (BurnWindow window : BurnWindow.values()) {
        for (BurnOutcome outcome : BurnOutcome.values()) {
          List<Long> ages =
              recordedJobs.stream()
                  .filter(recorded -> recorded.job().service().equals(service.getKey()))
                  .filter(recorded -> recorded.job().outcome() == outcome)
                  .map(recorded -> now - recorded.nanos())
                  .toList();
          long length = window.length().toNanos();
          assertThat(service.getValue().windows().get(window).of(outcome))
              .as("%s %s %s", service.getKey(), window, outcome)
              .isBetween(
                  ages.stream().filter(age -> age <= length / 30 * 29).count(),
                  ages.stream().filter(age -> age < length).count());
        }
      }
    }
  }

  @Provide
  Arbitrary<List<TestJob>> jobs() {
    return TestJob.any().list().ofMinSize(1).ofMaxSize(40);
  }

  @Test
  void responseTimesCoverOneHourAndExcludeRefusals() {
    BurnRecorder recorder = TestJob.recorder(timer);
    recorder.record("swap", BurnOutcome.ON_TIME, Duration.ofMillis(100));
    recorder.record("swap", BurnOutcome.LATE, Duration.ofSeconds(1));
    recorder.record("swap", BurnOutcome.REFUSED, Duration.ofMillis(1));
    ResponseTimes times = recorder.snapshot().services().get("swap").responseTimes();
    assertThat(times.count()).isEqualTo(2);
    assertThat(times.quantile(0.5)).isEqualTo(Duration.ofMillis(100));
    assertThat(times.quantile(0.99)).isBetween(Duration.ofMillis(990), Duration.ofMillis(1_010));
    timer.advance(Duration.ofHours(1));
    assertThat(recorder.snapshot().services().get("swap").responseTimes().count()).isZero();
  }

  /** Callers choose the service name of a refused job, so unknown names must not use memory. */
  @Test
  void onlyServicesWithAnObjectiveAreCounted() {
    BurnRecorder recorder = TestJob.recorder(timer);
    recorder.record("invented", BurnOutcome.REFUSED, Duration.ZERO);
    assertThat(recorder.snapshot().services()).containsOnlyKeys("swap", "alert");
    recorder.withdraw("alert");
    assertThat(recorder.snapshot().services()).containsOnlyKeys("swap");
  }

  @Test
  void changedObjectiveLeavesTheCountsUnchanged() {
    BurnRecorder recorder = TestJob.recorder(timer);
    recorder.record("swap", BurnOutcome.FAILED, Duration.ZERO);
    recorder.objective("swap", 0.5);
    assertThat(recorder.snapshot().services().get("swap").burnRate(BurnWindow.ONE_HOUR))
        .isEqualTo(2);
    assertThatIllegalArgumentException()
        .isThrownBy(() -> recorder.objective("swap", 1))
        .withMessageContaining("swap");
  }
}
