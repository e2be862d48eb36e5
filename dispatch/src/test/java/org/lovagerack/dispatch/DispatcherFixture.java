package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lovagerack.dispatch.RecordingTransport.SentAttempt;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.UpstreamDefinition;

/** A dispatcher with a recording transport, for tests of single dispatch decisions. */
final class DispatcherFixture implements DispatchObserver {

  static final String FAST = "10.0.0.1:8080";
  static final String SLOW = "10.0.0.2:8080";

  final PausableTimer timer = new PausableTimer();
  final RecordingTransport transport = new RecordingTransport(attempt -> {});
  final Map<String, TaskOutcome> outcomes = new LinkedHashMap<>();
  final List<String> events = new ArrayList<>();
  final Dispatcher dispatcher =
      new Dispatcher(timer, transport, new Random(1), DispatchSettings.defaults(), this);

  DispatcherFixture(ServiceDefinition service, UpstreamDefinition... upstreams) {
    dispatcher.deploy(Definitions.deployment(service, upstreams));
  }

  static DispatcherFixture withFastAndSlow() {
    return new DispatcherFixture(
        Definitions.DEFINITION, Definitions.upstream(FAST, 1), Definitions.upstream(SLOW, 1));
  }

  void deploy(Deployment deployment) {
    dispatcher.deploy(deployment);
  }

  TaskHandle submit(String key, boolean urgent, boolean repeatable, int deadlineMillis) {
    return submit(
        Definitions.task(key, urgent, repeatable, timer.nanoTime() + deadlineMillis * 1_000_000L));
  }

  TaskHandle submit(TaskSpec task) {
    return dispatcher.submit(task, outcome -> outcomes.put(task.key(), outcome));
  }

  void advance(long millis) {
    timer.advance(Duration.ofMillis(millis));
  }

  /** Returns the open attempt of a task. */
  SentAttempt openAttempt(String key) {
    return transport.open().stream()
        .filter(sent -> sent.request.taskKey().equals(key))
        .findFirst()
        .orElseThrow();
  }

  List<String> keysOfOpenAttempts() {
    return transport.open().stream().map(sent -> sent.request.taskKey()).toList();
  }

  /** Trains the speed estimates: FAST takes 100 ms per task, SLOW takes 400 ms. */
  void trainSpeedEstimates() {
    for (int i = 0; i < 40; i++) {
      submit("measure-a" + i, false, false, 10_000);
      submit("measure-b" + i, false, false, 10_000);
      for (int elapsed = 0; elapsed < 500; elapsed += 100) {
        advance(100);
        for (SentAttempt sent : transport.open()) {
          if (sent.request.upstream().equals(FAST) || elapsed == 300) {
            sent.succeed();
          }
        }
      }
    }
    advance(1000);
    outcomes.clear();
  }

  /** Submits each task and answers its only open attempt with a status. */
  void submitAndAnswer(int status, String... keys) {
    for (String key : keys) {
      submit(key, false, false, 3000);
      advance(1);
      openAttempt(key).answer(status);
    }
  }

  @Override
  public void upstreamEjected(String service, String upstream, Duration period) {
    events.add("ejected for " + period.toSeconds() + " s");
  }

  @Override
  public void upstreamLeaving(String upstream) {
    events.add("leaving");
  }

  @Override
  public void upstreamReadmitted(String service, String upstream) {
    events.add("readmitted");
  }

  @Override
  public void attemptStarted(String service, String upstream, StartReason reason, Duration queued) {
    if (reason != StartReason.FIRST) {
      events.add(reason.name());
    }
  }

  @Override
  public void connectionSuspect(String service, String upstream) {
    events.add("suspect");
  }
}
