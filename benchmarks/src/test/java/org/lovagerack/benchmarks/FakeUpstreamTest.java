package org.lovagerack.benchmarks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagerack.dispatch.Attempt;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.foundation.timer.DrivenTimer;

/** Tests the simulated upstreams and connections, on which all policy results depend. */
final class FakeUpstreamTest {

  private static final String ADDRESS = Workload.address(0);
  private static final Duration RUN_TIME = Duration.ofMillis(100);

  private final DrivenTimer timer = new DrivenTimer(Duration.ZERO);
  private final EntryLoop loop = new EntryLoop(timer);
  private final FakeUpstream upstream =
      new FakeUpstream(timer, ADDRESS, 2 * Workload.REFERENCE_SPEED, 2);
  private final Map<String, TaskRecord> tasks = new HashMap<>();
  private final FakeTransport transport =
      new FakeTransport(timer, loop, Map.of(ADDRESS, upstream), tasks, 4);
  private final List<String> results = new ArrayList<>();

  @Test
  void runsOneTaskPerSlotAndQueuesTheRestInOrder() {
    start("a");
    start("b");
    start("c");

    timer.advance(Duration.ofMillis(52));
    assertThat(results).containsExactly("a Answered 51.0", "b Answered 51.0");

    timer.advance(Duration.ofMillis(50));
    assertThat(results).last().isEqualTo("c Answered 101.0");
  }

  @Test
  void limitsConnections() {
    for (String key : List.of("a", "b", "c", "d", "e")) {
      start(key);
    }

    timer.advance(Duration.ofMillis(10));

    assertThat(tasks.values()).filteredOn(record -> record.requests == 1).hasSize(4);
  }

  @Test
  void losesRequestsOnUnresponsiveConnectionsButNotOnNewOnes() {
    start("a");
    timer.advance(Duration.ofSeconds(1));
    transport.makeUnresponsive(ADDRESS);
    start("lost");
    timer.advance(Duration.ofSeconds(1));
    start("on a new connection");
    timer.advance(Duration.ofSeconds(1));

    assertThat(results).containsExactly("a Answered 51.0", "on a new connection Answered 2051.0");
    assertThat(tasks.get("lost").starts).isEmpty();
  }

  @Test
  void crashLosesRunningTasksAndRefusesConnections() {
    start("running");
    timer.advance(Duration.ofMillis(10));
    upstream.crash();
    start("refused");

    timer.advance(Duration.ofMillis(90));

    assertThat(results).containsExactly("running Lost 10.3", "refused NotSent 10.5");
  }

  @Test
  void failingUpstreamAnswersErrorsImmediately() {
    upstream.setFailing(true);
    start("a");

    timer.advance(RUN_TIME);

    assertThat(results).containsExactly("a Answered 2.0");
  }

  @Test
  void doesNotRunWaitingTasksWhoseConnectionWasClosed() {
    start("a");
    start("b");
    Attempt closed = start("closed");
    timer.advance(Duration.ofMillis(10));
    closed.cancel();

    timer.advance(Duration.ofSeconds(1));

    assertThat(tasks.get("closed").starts).isEmpty();
    assertThat(results).hasSize(2);
  }

  @Test
  void countsStartsOnLeavingUpstreamOnlyAfterTheGracePeriod() {
    upstream.markLeaving();
    start("early");
    timer.advance(FakeUpstream.LEAVING_GRACE_PERIOD);
    assertThat(upstream.startsWhileLeaving()).isZero();

    start("late");
    timer.advance(RUN_TIME);
    assertThat(upstream.startsWhileLeaving()).isEqualTo(1);
  }

  @Test
  void delaysAnswersAndTimersOfSuspendedEntryVm() {
    start("a");
    loop.after(Duration.ofMillis(10), () -> results.add("timer"));
    loop.suspend(Duration.ofSeconds(2));

    timer.advance(Duration.ofMillis(1_999));
    assertThat(results).isEmpty();

    timer.advance(Duration.ofMillis(100));
    assertThat(results).containsExactly("timer", "a Answered 2050.5");
  }

  private Attempt start(String key) {
    PlannedTask task = new PlannedTask(key, false, RUN_TIME.toNanos(), RUN_TIME, 0, 1);
    tasks.put(key, new TaskRecord(task));
    AttemptRequest request =
        new AttemptRequest(ADDRESS, "/run", key, 1, Duration.ofSeconds(9), Bytes.empty(), false);
    return transport.start(request, result -> results.add(describe(key, result)));
  }

  private String describe(String key, AttemptResult result) {
    double millis = timer.nanoTime() / 1e6;
    return "%s %s %.1f".formatted(key, result.getClass().getSimpleName(), millis);
  }
}
