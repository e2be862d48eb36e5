package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.support.FakeFleet;
import org.lovagerack.fleet.support.OwnedVm;

/** Plays a load above the capacity, and checks how long callers wait for a refusal. */
final class CrowdingTest {

  /** Three times what callers estimate, so that admission takes more than there is room for. */
  private static final Duration TASK_TIME = Duration.ofMillis(900);

  private static final long ESTIMATE_MILLIS = 300;

  /** 1.6 times the estimate, and 60 ms. */
  private static final long OBJECTIVE_MILLIS = 540;

  /** Two periods of the look at the queue. */
  private static final long LOOKS_MILLIS = 450;

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

    long waited() {
      return answeredMillis - submittedMillis;
    }
  }

  @Test
  void callersOfJobsThatCannotBeInTimeAreToldSoWhileOthersWait() {
    OwnedVm owner = fleet.vm("first").takeShard().orElseThrow();
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
            call -> assertThat(call.waited()).isLessThanOrEqualTo(OBJECTIVE_MILLIS + LOOKS_MILLIS));
    // Two jobs fit at a time, for 0.9 s each.
    assertThat(calls).filteredOn(Call::completed).hasSizeGreaterThanOrEqualTo(12);
  }

  @Test
  void jobThatIsLateGoesOnWaitingWhileNobodyElseDoes() {
    Crowding crowding = new Crowding();
    crowding.look(true);
    assertThat(crowding.waitsInVain(false, true)).isFalse();
    crowding.look(false);
    crowding.look(true);
    assertThat(crowding.waitsInVain(false, true)).isFalse();
    crowding.look(true);

    assertThat(crowding.waitsInVain(false, true)).isTrue();
    assertThat(crowding.waitsInVain(true, true)).isFalse();
    assertThat(crowding.waitsInVain(true, false)).isTrue();
  }
}
