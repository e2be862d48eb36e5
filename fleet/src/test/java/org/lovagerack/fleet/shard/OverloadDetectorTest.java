package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.OwnerVm;

/** Simulates a load above the capacity and checks how long callers wait for a refusal. */
final class OverloadDetectorTest {

  /**
   * Three times the callers' estimate, so that admission accepts more jobs than the workers can
   * run.
   */
  private static final Duration TASK_TIME = Duration.ofMillis(900);

  private static final long ESTIMATE_MILLIS = 300;

  /** 1.6 times the estimate plus 60 ms. */
  private static final long OBJECTIVE_MILLIS = 540;

  /** Two periods of the queue check. */
  private static final long CHECKS_MILLIS = 450;

  private static final long STEP_MILLIS = 10;

  private final FakeFleet fleet = new FakeFleet(4, TASK_TIME);
  private long nowMillis;

  private static final class Call {
    private final long submittedMillis;
    private final List<JobAnswer> answers;
    private long answeredMillis;

    Call(long submittedMillis, List<JobAnswer> answers) {
      this.submittedMillis = submittedMillis;
      this.answers = answers;
    }

    boolean refused() {
      return answers.getFirst() instanceof JobAnswer.Refused;
    }

    boolean completed() {
      return answers.contains(new JobAnswer.State(JobState.COMPLETED));
    }

    long waitMillis() {
      return answeredMillis - submittedMillis;
    }
  }

  @Test
  void lateJobsAreRefusedWhileTimelyJobsWait() {
    OwnerVm owner = fleet.vm("first").takeOverShard().orElseThrow();
    fleet.timer.advance(Duration.ofMillis(600));
    List<Call> calls = new ArrayList<>();
    while (nowMillis < 9000) {
      if (nowMillis < 6000 && nowMillis % 150 == 0) {
        List<JobAnswer> answers =
            owner.submit(FakeFleet.job("job-" + nowMillis, 4, ESTIMATE_MILLIS, true));
        calls.add(new Call(nowMillis, answers));
      }
      fleet.timer.advance(Duration.ofMillis(STEP_MILLIS));
      nowMillis += STEP_MILLIS;
      for (Call call : calls) {
        if (!call.answers.isEmpty() && call.answeredMillis == 0) {
          call.answeredMillis = nowMillis;
        }
      }
    }

    assertThat(calls)
        .filteredOn(Call::refused)
        .isNotEmpty()
        .allSatisfy(
            call ->
                assertThat(call.waitMillis())
                    .isLessThanOrEqualTo(OBJECTIVE_MILLIS + CHECKS_MILLIS));
    // The workers run two jobs at a time, for 0.9 s each.
    assertThat(calls).filteredOn(Call::completed).hasSizeGreaterThanOrEqualTo(12);
  }

  @Test
  void lateJobIsNotRefusedUnlessTimelyJobsWait() {
    OverloadDetector overloadDetector = new OverloadDetector();
    overloadDetector.recordCheck(true);
    assertThat(overloadDetector.shouldRefuse(false, true)).isFalse();
    overloadDetector.recordCheck(false);
    overloadDetector.recordCheck(true);
    assertThat(overloadDetector.shouldRefuse(false, true)).isFalse();
    overloadDetector.recordCheck(true);

    assertThat(overloadDetector.shouldRefuse(false, true)).isTrue();
    assertThat(overloadDetector.shouldRefuse(true, true)).isFalse();
    assertThat(overloadDetector.shouldRefuse(true, false)).isTrue();
  }
}
