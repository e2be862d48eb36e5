package org.lovagerack.fleet.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.fleet.job.LostRun;
import org.lovagerack.fleet.shard.RestartPolicy.Decision;

/** Tests how a task continues after its workers were lost. */
final class RestartPolicyTest {

  private static final LostRun CRASH = new LostRun("worker", "10.0.0.1:1", 1, true, true);
  private static final LostRun UNEXPLAINED = new LostRun("worker", "10.0.0.1:1", 1, true, false);
  private static final LostRun CRASH_AT_START = new LostRun("worker", "10.0.0.1:1", 1, false, true);

  private static Decision decide(boolean useful, Duration sinceLast, LostRun... lost) {
    TaskLosses losses = new TaskLosses();
    for (LostRun run : lost) {
      losses.add(run, 0);
    }
    return RestartPolicy.decide(losses, useful, sinceLast.toNanos());
  }

  private static Decision decide(LostRun... lost) {
    return decide(true, Duration.ZERO, lost);
  }

  @Test
  void taskWithoutLossesStartsAlsoIfItIsOfNoUse() {
    assertThat(decide(false, Duration.ZERO)).isEqualTo(Decision.START);
  }

  @Test
  void taskIsRepeatedAloneAfterOneLoss() {
    assertThat(decide(CRASH)).isEqualTo(Decision.START_ALONE);
    assertThat(decide(UNEXPLAINED)).isEqualTo(Decision.START_ALONE);
    assertThat(decide(CRASH_AT_START)).isEqualTo(Decision.START_ALONE);
  }

  @Test
  void taskIsGivenUpAfterTwoCertainCrashes() {
    assertThat(decide(CRASH, CRASH)).isEqualTo(Decision.GIVE_UP);
    assertThat(decide(false, Duration.ZERO, CRASH, CRASH)).isEqualTo(Decision.GIVE_UP);
  }

  @Test
  void unexplainedLossesAloneNeverFailATask() {
    assertThat(
            decide(true, Duration.ofHours(1), UNEXPLAINED, UNEXPLAINED, UNEXPLAINED, UNEXPLAINED))
        .isEqualTo(Decision.START_ALONE);
  }

  @Test
  void crashesAtTheStartFailATaskOnlyIfTheyRepeat() {
    assertThat(decide(true, Duration.ofHours(1), CRASH_AT_START, CRASH_AT_START, CRASH_AT_START))
        .isEqualTo(Decision.START_ALONE);
    assertThat(decide(CRASH_AT_START, CRASH_AT_START, CRASH_AT_START, CRASH_AT_START))
        .isEqualTo(Decision.GIVE_UP);
  }

  @Test
  void waitForAnExplanationDoublesWithEachLoss() {
    Duration wait = Duration.ofMillis(2500);
    assertThat(decide(true, wait.minusNanos(1), CRASH, UNEXPLAINED)).isEqualTo(Decision.WAIT);
    assertThat(decide(true, wait, CRASH, UNEXPLAINED)).isEqualTo(Decision.START_ALONE);
    assertThat(decide(true, wait, CRASH, UNEXPLAINED, UNEXPLAINED)).isEqualTo(Decision.WAIT);
    assertThat(decide(true, wait.multipliedBy(2), CRASH, UNEXPLAINED, UNEXPLAINED))
        .isEqualTo(Decision.START_ALONE);
  }

  @Test
  void taskOfNoUseIsNotRepeatedIfAWorkerExecutedIt() {
    assertThat(decide(false, Duration.ZERO, UNEXPLAINED)).isEqualTo(Decision.ABANDON);
    assertThat(decide(false, Duration.ZERO, CRASH_AT_START)).isEqualTo(Decision.START_ALONE);
  }
}
