package org.lovagerack.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lovagerack.dispatch.DispatcherFixture.FAST;
import static org.lovagerack.dispatch.DispatcherFixture.SLOW;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;

/** Tests the order of tasks and the choice of upstreams. */
final class RoutingTest {

  private final DispatcherFixture fixture = DispatcherFixture.withFastAndSlow();

  // Guards against ranking upstreams by declared run times or by index.
  @Test
  void prefersTheUpstreamThatWasMeasuredToBeFaster() {
    fixture.trainSpeedEstimates();

    fixture.submit("task", false, false, 3000);
    fixture.advance(0);

    assertThat(fixture.openAttempt("task").request.upstream()).isEqualTo(FAST);
  }

  // Guards against starting a task on a slow upstream just before a fast one becomes free.
  @Test
  void waitsForBusyUpstreamThatWillFinishTheTaskSooner() {
    fixture.trainSpeedEstimates();
    fixture.submit("first", false, false, 3000);
    fixture.advance(90);

    fixture.submit("second", false, false, 3000);
    fixture.advance(1);
    assertThat(fixture.keysOfOpenAttempts()).containsExactly("first");
    fixture.openAttempt("first").succeed();
    assertThat(fixture.openAttempt("second").request.upstream()).isEqualTo(FAST);
  }

  // Guards against waiting indefinitely when the expected release does not happen.
  @Test
  void usesTheSlowUpstreamIfTheExpectedReleaseDoesNotHappen() {
    fixture.trainSpeedEstimates();
    fixture.submit("first", false, false, 3000);
    fixture.advance(90);

    fixture.submit("second", false, false, 3000);
    fixture.advance(300);

    assertThat(fixture.openAttempt("second").request.upstream()).isEqualTo(SLOW);
  }

  // Guards against starting tasks in the order of submission.
  @Test
  void startsUrgentTasksFirstThenByDeadlineThenTheLongest() {
    fixture.submit("busy1", true, false, 10);
    fixture.submit("busy2", true, false, 10);
    fixture.advance(0);
    long due = fixture.timer.nanoTime() + Duration.ofSeconds(2).toNanos();
    fixture.submit("later", false, false, 2500);
    fixture.submit(Definitions.task("short", false, false, due, Duration.ofMillis(10)));
    fixture.submit(Definitions.task("long", false, false, due, Duration.ofMillis(90)));
    fixture.submit("urgent", true, false, 3000);

    fixture.transport.open().forEach(RecordingTransport.SentAttempt::succeed);
    assertThat(fixture.keysOfOpenAttempts()).containsExactly("urgent", "long");
    fixture.transport.open().forEach(RecordingTransport.SentAttempt::succeed);
    assertThat(fixture.keysOfOpenAttempts()).containsExactly("short", "later");
  }

  // Guards against an entry VM that never gets a slot, because its peers reuse theirs.
  @Test
  void usesItsEqualShareWhenPeersReportAllSlots() {
    fixture.deploy(Definitions.deployment(Definitions.DEFINITION, Definitions.upstream(FAST, 4)));
    fixture.dispatcher.peerLoads("peer", Map.of(FAST, 4));
    for (int i = 0; i < 4; i++) {
      fixture.submit("task" + i, false, false, 2000);
    }

    fixture.advance(99);
    assertThat(fixture.keysOfOpenAttempts()).isEmpty();
    fixture.advance(2);
    assertThat(fixture.keysOfOpenAttempts()).hasSize(2);
    fixture.dispatcher.peerLeft("peer");
    assertThat(fixture.keysOfOpenAttempts()).hasSize(4);
  }

  // Guards against an entry VM that refuses every job while its peers use all slots.
  @Test
  void admitsJobsWhilePeersReportAllSlots() {
    fixture.deploy(Definitions.deployment(Definitions.DEFINITION, Definitions.upstream(FAST, 4)));
    fixture.dispatcher.peerLoads("peer", Map.of(FAST, 4));

    assertThat(refusal(Definitions.SERVICE, "team", 10, 9_000)).isNull();
  }

  // Guards against counting the load report of a peer after the peer has stopped.
  @Test
  void dropsOldReportsAndDividesConnectionsByLiveEntryVms() {
    fixture.dispatcher.peerLoads("peer", Map.of());
    assertThat(fixture.transport.connectionLimits).containsEntry(FAST, 1);

    fixture.advance(3001);

    assertThat(fixture.transport.connectionLimits).containsEntry(FAST, 2);
  }

  // Guards against refusals whose kind does not match the reason.
  @Test
  void refusesJobsWithTheKindOfTheReason() {
    fixture.trainSpeedEstimates();

    assertThat(refusal("unknown", "team", 1, 1000)).isEqualTo(ErrorKind.UNKNOWN_SERVICE);
    assertThat(refusal(Definitions.SERVICE, "team", 1, 0)).isEqualTo(ErrorKind.DEADLINE_PASSED);
    assertThat(refusal(Definitions.SERVICE, "team", 1, 50)).isEqualTo(ErrorKind.IMPOSSIBLE_JOB);
    assertThat(refusal(Definitions.SERVICE, "limited", 4, 9000))
        .isEqualTo(ErrorKind.QUOTA_EXCEEDED);
    assertThat(refusal(Definitions.SERVICE, "team", 201, 90_000)).isEqualTo(ErrorKind.QUEUE_FULL);
    assertThat(refusal(Definitions.SERVICE, "team", 100, 2000)).isEqualTo(ErrorKind.OVERLOADED);
    assertThat(refusal(Definitions.SERVICE, "limited", 3, 9000)).isNull();
    fixture.dispatcher.upstreamLeaving(FAST);
    fixture.dispatcher.upstreamLeaving(SLOW);
    assertThat(refusal(Definitions.SERVICE, "team", 1, 1000)).isEqualTo(ErrorKind.NO_UPSTREAM);
  }

  private ErrorKind refusal(String service, String team, int tasks, int deadlineMillis) {
    AdmissionRequest job =
        new AdmissionRequest(
            service,
            "bulletin",
            team,
            false,
            tasks,
            Duration.ofMillis(100),
            fixture.timer.nanoTime() + deadlineMillis * 1_000_000L);
    return fixture.dispatcher.admit(job).map(Failure::kind).orElse(null);
  }
}
