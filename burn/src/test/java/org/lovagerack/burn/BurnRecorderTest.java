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

/** Guards against jobs that are lost, counted twice, or still counted after their window. */
final class BurnRecorderTest {

  /** A job and the time at which it was recorded. */
  private record Recorded(TestJob job, long nanos) {}

  private final DrivenTimer timer = new DrivenTimer();

  /** A window of 30 slots omits at most its oldest thirtieth. */
  @Property(tries = 300, seed = "11")
  void everyWindowContainsTheJobsOfItsLength(@ForAll("jobs") List<TestJob> jobs) {
    DrivenTimer time = new DrivenTimer();
    BurnRecorder recorder = TestJob.recorder(time);
    List<Recorded> recordedJobs = new ArrayList<>();
    for (TestJob job : jobs) {
      time.advance(job.pause());
      job.recordIn(recorder);
      recordedJobs.add(new Recorded(job, time.nanoTime()));
      checkAgainst(recordedJobs, recorder.snapshot(), time.nanoTime());
    }
  }

  private static void checkAgainst(List<Recorded> recordedJobs, BurnSnapshot snapshot, long now) {
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
  void responseTimesCoverAnHourOfCompleteAnswers() {
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

  /** Refused submissions carry names that callers choose, which must not use memory. */
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
