package org.lovagerack.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lovagerack.dispatch.DispatcherFixture.FAST;
import static org.lovagerack.dispatch.DispatcherFixture.SLOW;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.RunOutcome;

/** Tests ejection, hedging and the handling of unresponsive connections. */
final class FailureHandlingTest {

  private DispatcherFixture fixture = DispatcherFixture.withFastAndSlow();

  // Guards against an upstream that receives more tasks because it fails them quickly.
  @Test
  void ejectsAfterThreeFailuresForTwiceAsLongEachTime() {
    failOn(FAST, 3);
    assertThat(fixture.events).containsExactly("ejected for 1 s");

    fixture.advance(1000);
    failOn(FAST, 1);
    assertThat(fixture.events).containsExactly("ejected for 1 s", "PROBE", "ejected for 2 s");

    fixture.advance(2000);
    fixture.submit("probe", false, true, 1000);
    fixture.advance(0);
    fixture.openAttempt("probe").succeed();
    assertThat(fixture.events).endsWith("PROBE", "readmitted");
  }

  // Guards against starting tasks on an upstream that shuts down without being reported as leaving.
  @Test
  void sendsNoTasksToAnUpstreamThatClosesEveryConnection() {
    fixture.trainSpeedEstimates();
    closeOnFast(3);
    assertThat(fixture.events).endsWith("leaving", "ejected for 1 s");

    fixture.submit("other", false, false, 10_000);
    fixture.advance(0);
    assertThat(fixture.openAttempt("other").request.upstream()).isEqualTo(SLOW);
    fixture.openAttempt("other").succeed();
    fixture.advance(1_000);
    fixture.submit("probe", false, true, 10_000);
    fixture.advance(0);
    fixture.openAttempt("probe").succeed();
    assertThat(fixture.events).endsWith("PROBE", "readmitted");
  }

  // Guards against the permanent ejection of an upstream whose server is reconfigured to close
  // connections after each answer.
  @Test
  void readmitsAnUpstreamThatClosesConnectionsButContinuesToAnswer() {
    fixture.trainSpeedEstimates();
    closeOnFast(3);
    for (int backOffMillis = 1_000; backOffMillis <= 4_000; backOffMillis *= 2) {
      fixture.advance(backOffMillis);
      closeOnFast(1);
    }
    assertThat(fixture.events).endsWith("PROBE", "readmitted");

    closeOnFast(5);
    assertThat(fixture.events).endsWith("PROBE", "readmitted");
  }

  private void closeOnFast(int count) {
    for (int i = 0; i < count; i++) {
      fixture.submit("closing" + fixture.outcomes.size(), false, true, 10_000);
      fixture.advance(0);
      assertThat(fixture.transport.open().getFirst().request.upstream()).isEqualTo(FAST);
      fixture.advance(100);
      fixture.transport.open().getFirst().succeedAndClose();
    }
  }

  // Guards against reporting the ejection of an upstream that was already withdrawn.
  @Test
  void reportsNoEjectionOfAWithdrawnUpstream() {
    fixture.deploy(Definitions.deployment(Definitions.DEFINITION, Definitions.upstream(FAST, 3)));
    for (int i = 0; i < 3; i++) {
      fixture.submit("task" + i, false, false, 3_000);
    }
    fixture.advance(0);

    fixture.deploy(
        Definitions.deployment(
            Definitions.DEFINITION,
            Definitions.upstream(SLOW, 3),
            Definitions.upstream("10.0.0.3:8080", 3)));
    for (int i = 0; i < 3; i++) {
      fixture.openAttempt("task" + i).answer(500);
    }

    assertThat(fixture.events).isEmpty();
  }

  // Guards against ejecting healthy upstreams when the tasks themselves fail.
  @Test
  void ejectsAtMostHalfOfTheUpstreams() {
    for (int i = 0; i < 20; i++) {
      fixture.submitAndAnswer(500, "bad" + i);
    }

    assertThat(fixture.events.stream().filter(event -> event.startsWith("ejected"))).hasSize(1);
  }

  // Guards against tasks that hang on an unresponsive connection, and against its reuse.
  @Test
  void replacesConnectionsOfOverdueAttempts() {
    fixture.trainSpeedEstimates();
    fixture.transport.idleClosed.clear();
    fixture.submit("unanswered", false, false, 1000);
    fixture.advance(600);
    assertThat(fixture.events).endsWith("suspect");
    assertThat(fixture.transport.idleClosed).containsExactly(FAST);

    fixture.advance(500);
    assertThat(failure("unanswered").kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(failure("unanswered").outcome()).isEqualTo(RunOutcome.MAY_HAVE_RUN);
    fixture.dispatcher.upstreamLeaving(SLOW);
    fixture.submit("next", false, false, 1000);
    fixture.advance(0);
    assertThat(fixture.openAttempt("next").request.freshConnection()).isTrue();
  }

  // Guards against attempts that occupy a slot indefinitely.
  @Test
  void givesUpAfterTheMaximumRunTimeOfTheService() {
    fixture.submit("hanging", false, false, 60_000);
    fixture.advance(4001);

    assertThat(failure("hanging").kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(fixture.dispatcher.inFlightByUpstream()).isEmpty();
  }

  // Guards against hedges that the message weight forbids, and against two outcomes of one task.
  @Test
  void hedgesSlowRepeatableTasksUnlessMessageWeightIsOne() {
    assertThat(hedges(0)).isPositive();
    assertThat(hedges(1)).isZero();
  }

  // Guards against idle connections that become unresponsive undetected.
  @Test
  void closesConnectionsThatWereIdleForFiveSeconds() {
    fixture.submitAndAnswer(200, "only");
    fixture.advance(4500);
    assertThat(fixture.transport.idleClosed).isEmpty();

    fixture.advance(2000);

    assertThat(fixture.transport.idleClosed).hasSize(1);
  }

  // Guards against starts based on stale state after a pause, and against lost queued tasks.
  @Test
  void suspendsStartsAfterPauseUntilResumedOrElapsed() {
    fixture.submit("expired", false, false, 100);
    fixture.timer.pause(Duration.ofSeconds(2));
    fixture.dispatcher.suspendStarts(Duration.ofMillis(500));
    assertThat(failure("expired").outcome()).isEqualTo(RunOutcome.NOT_RUN);
    fixture.submit("waiting", false, false, 2000);
    fixture.advance(499);
    assertThat(fixture.keysOfOpenAttempts()).isEmpty();

    fixture.advance(1);

    assertThat(fixture.keysOfOpenAttempts()).containsExactly("waiting");
  }

  // Guards against unlimited attempts of a task that fails on every upstream.
  @Test
  void limitsTheAttemptsOfOneTask() {
    fixture =
        new DispatcherFixture(
            Definitions.service(1, 10),
            Definitions.upstream(FAST, 1),
            Definitions.upstream(SLOW, 1));
    assertThat(attempts("failing", new AttemptResult.Lost("reset"))).isEqualTo(3);
    assertThat(failure("failing").outcome()).isEqualTo(RunOutcome.MAY_HAVE_RUN);
    assertThat(attempts("unsent", new AttemptResult.NotSent("refused"))).isEqualTo(9);
    assertThat(failure("unsent").outcome()).isEqualTo(RunOutcome.NOT_RUN);
  }

  private int attempts(String key, AttemptResult result) {
    fixture.submit(key, false, true, 60_000);
    fixture.advance(0);
    int before = fixture.transport.sent.size() - 1;
    while (!fixture.outcomes.containsKey(key)) {
      fixture.transport.open().forEach(sent -> sent.deliver(result));
      fixture.advance(1000);
    }
    return fixture.transport.sent.size() - before;
  }

  private int hedges(double messageWeight) {
    fixture =
        new DispatcherFixture(
            Definitions.service(messageWeight),
            Definitions.upstream(FAST, 2),
            Definitions.upstream(SLOW, 2));
    for (int i = 0; i < 400; i++) {
      fixture.submit("task" + i, false, true, 3000);
      // Every twentieth task is slow, so slow tasks are rarer than the hedge budget allows.
      fixture.advance(i % 20 == 0 ? 400 : 50);
      fixture.transport.open().forEach(RecordingTransport.SentAttempt::succeed);
    }
    assertThat(fixture.outcomes.values()).hasOnlyElementsOfType(TaskOutcome.Succeeded.class);
    return (int) fixture.events.stream().filter("HEDGE"::equals).count();
  }

  private void failOn(String upstream, int failures) {
    for (int i = 0; i < failures; i++) {
      String key = "failing" + fixture.transport.sent.size();
      fixture.submit("other" + key, false, false, 900);
      fixture.submit(key, false, false, 900);
      fixture.advance(0);
      for (RecordingTransport.SentAttempt sent : fixture.transport.open()) {
        sent.answer(sent.request.upstream().equals(upstream) ? 500 : 200);
      }
    }
  }

  private Failure failure(String key) {
    return ((TaskOutcome.Failed) fixture.outcomes.get(key)).failure();
  }

  // Guards against a hedge after a pause during which both its time and the deadline passed.
  @Test
  void doesNotHedgeAfterTheDeadline() {
    DispatcherFixture frequentHedges =
        new DispatcherFixture(
            Definitions.service(0),
            Definitions.upstream(DispatcherFixture.FAST, 1),
            Definitions.upstream(DispatcherFixture.SLOW, 1));
    frequentHedges.trainSpeedEstimates();
    frequentHedges.submit("task", false, true, 2_000);
    frequentHedges.advance(1);
    assertThat(frequentHedges.keysOfOpenAttempts()).containsExactly("task");

    frequentHedges.timer.pause(Duration.ofSeconds(3));
    frequentHedges.advance(2_000);

    assertThat(frequentHedges.events).doesNotContain("HEDGE");
    assertThat(frequentHedges.outcomes).containsKey("task");
  }
}
