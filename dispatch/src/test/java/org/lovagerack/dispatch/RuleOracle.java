package org.lovagerack.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lovagerack.dispatch.RecordingTransport.SentAttempt;
import org.lovagerack.foundation.error.RunOutcome;
import org.lovagerack.notes.ServiceDefinition;

/**
 * Test oracle that implements the rules of the dispatcher in their simplest form, based only on the
 * actions and observations of the test. Checks every start when it happens and every outcome.
 */
final class RuleOracle implements DispatchObserver {

  private final PausableTimer timer;
  private final ServiceDefinition service;
  private final DispatchSettings settings;
  private final Map<String, TaskSpec> tasks = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Integer> possibleStarts = new HashMap<>();
  private final Map<String, Integer> unsent = new HashMap<>();
  private final Map<String, TaskOutcome> outcomes = new HashMap<>();
  private final Set<String> ejected = new HashSet<>();
  private final Set<String> probing = new HashSet<>();
  private final Map<String, PeerReport> reports = new HashMap<>();
  private final Set<SentAttempt> retryAttempts = new HashSet<>();
  private SentAttempt lastStarted;
  private int firstStarts;
  private int retries;
  private int hedges;

  final Map<String, Integer> slots = new TreeMap<>();
  final Set<String> leaving = new HashSet<>();
  long suspendedUntilNanos = Long.MIN_VALUE;
  RecordingTransport transport;

  RuleOracle(PausableTimer timer, ServiceDefinition service, DispatchSettings settings) {
    this.timer = timer;
    this.service = service;
    this.settings = settings;
  }

  void submitted(TaskSpec task) {
    tasks.put(task.key(), task);
  }

  void outcome(String key, TaskOutcome outcome) {
    assertThat(outcomes.put(key, outcome)).as("earlier outcome of task %s", key).isNull();
    boolean possiblyStarted = possibleStarts.getOrDefault(key, 0) > 0;
    switch (outcome) {
      case TaskOutcome.Succeeded succeeded ->
          assertThat(succeeded.body().toText()).as("answer to task %s", key).isEqualTo(key);
      case TaskOutcome.Failed failed -> {
        boolean notRun = failed.failure().outcome() == RunOutcome.NOT_RUN;
        assertThat(notRun)
            .as("task %s is not run: %s", key, failed.failure())
            .isEqualTo(!possiblyStarted);
        assertThat(failed.failure().kind().guaranteesNotRun() && possiblyStarted)
            .as("task %s may have run but its kind excludes it: %s", key, failed.failure())
            .isFalse();
      }
    }
  }

  void started(SentAttempt attempt) {
    String key = attempt.request.taskKey();
    String upstream = attempt.request.upstream();
    TaskSpec task = tasks.get(key);
    assertThat(outcomes).as("start of a finished task").doesNotContainKey(key);
    assertThat(timer.nanoTime()).as("start after the deadline").isLessThan(task.deadlineNanos());
    assertThat(timer.nanoTime())
        .as("start while suspended")
        .isGreaterThanOrEqualTo(suspendedUntilNanos);
    assertThat(slots).as("start on a withdrawn upstream").containsKey(upstream);
    assertThat(leaving).as("start on a leaving upstream").doesNotContain(upstream);
    checkSlots(upstream);
    int before = possibleStarts.getOrDefault(key, 0);
    int maxStarts = task.repeatable() ? service.maxAttempts() : 1;
    assertThat(before).as("earlier starts of task %s", key).isLessThan(maxStarts);
    assertThat(unsent.getOrDefault(key, 0))
        .as("unsent attempts of task %s", key)
        .isLessThanOrEqualTo(settings.maxUnsentAttempts());
    lastStarted = attempt;
    possibleStarts.merge(key, 1, Integer::sum);
    if (starts.merge(key, 1, Integer::sum) == 1) {
      firstStarts++;
    }
  }

  private void checkSlots(String upstream) {
    int own = transport.openAt(upstream);
    int peersInFlight = 0;
    int entryVms = 1;
    for (PeerReport report : reports.values()) {
      if (timer.nanoTime() - report.nanos < settings.peerReportTimeout().toNanos()) {
        entryVms++;
        peersInFlight += report.inFlight.getOrDefault(upstream, 0);
      }
    }
    int total = slots.get(upstream);
    assertThat(own)
        .as("own attempts at %s with %d slots, %d used by peers", upstream, total, peersInFlight)
        .isLessThan(Math.max(total - peersInFlight, total / entryVms));
    assertThat(own).as("connections").isLessThan(Math.max(1, 2 * total / entryVms));
  }

  /** Records the result of an attempt before it is delivered to the dispatcher. */
  void ending(SentAttempt attempt, AttemptResult result) {
    String key = attempt.request.taskKey();
    boolean sent = !(result instanceof AttemptResult.NotSent);
    if (!sent) {
      unsent.merge(key, 1, Integer::sum);
      // The next attempt counts as the same retry.
      retries -= retryAttempts.remove(attempt) ? 1 : 0;
    }
    boolean refused =
        result instanceof AttemptResult.Answered answered
            && service.notStartedStatuses().contains(answered.status());
    if (!sent || refused) {
      possibleStarts.merge(key, -1, Integer::sum);
    }
  }

  void peerReported(String peer, Map<String, Integer> inFlight) {
    reports.put(peer, new PeerReport(timer.nanoTime(), inFlight));
  }

  void peerLeft(String peer) {
    reports.remove(peer);
  }

  void checkAllFinished() {
    assertThat(outcomes.keySet()).as("tasks with an outcome").isEqualTo(tasks.keySet());
  }

  @Override
  public void attemptStarted(String name, String upstream, StartReason reason, Duration queued) {
    if (ejected.contains(upstream)) {
      assertThat(reason).as("start on ejected %s", upstream).isEqualTo(StartReason.PROBE);
      assertThat(probing.add(upstream)).as("only one probe of %s", upstream).isTrue();
    }
    if (reason == StartReason.RETRY) {
      retries++;
      retryAttempts.add(lastStarted);
      assertThat((double) retries)
          .as("retries")
          .isLessThanOrEqualTo(settings.budgetReserve() + service.retryBudget() * firstStarts);
    }
    if (reason == StartReason.HEDGE) {
      hedges++;
      assertThat((double) hedges)
          .as("hedges")
          .isLessThanOrEqualTo(settings.hedgeShare() * firstStarts);
    }
  }

  @Override
  public void attemptCancelled(String name, String upstream) {
    probing.remove(upstream);
  }

  @Override
  public void upstreamEjected(String name, String upstream, Duration period) {
    ejected.add(upstream);
    probing.remove(upstream);
    long present = slots.keySet().stream().filter(a -> !leaving.contains(a)).count();
    long ejectedPresent =
        ejected.stream().filter(a -> slots.containsKey(a) && !leaving.contains(a)).count();
    assertThat(2 * ejectedPresent)
        .as("ejected of %d upstreams", present)
        .isLessThanOrEqualTo(present);
  }

  @Override
  public void upstreamReadmitted(String name, String upstream) {
    ejected.remove(upstream);
    probing.remove(upstream);
  }

  /** Removes a withdrawn upstream, which may be added again as a new one. */
  void withdrawn(String upstream) {
    ejected.remove(upstream);
    probing.remove(upstream);
  }

  private record PeerReport(long nanos, Map<String, Integer> inFlight) {}
}
