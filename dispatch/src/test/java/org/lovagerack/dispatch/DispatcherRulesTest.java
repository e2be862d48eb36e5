package org.lovagerack.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import org.lovagerack.dispatch.RecordingTransport.SentAttempt;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.UpstreamDefinition;

/** Checks the rules for starts and outcomes under randomly generated sequences of faults. */
final class DispatcherRulesTest {

  private static final int UPSTREAMS = 5;

  @Property(seed = "20261204", tries = 1500)
  void rulesHoldUnderFaults(@ForAll("runs") List<Step> steps) {
    new Run(Definitions.DEFINITION).execute(steps);
  }

  // Covers paths that need many hedges, which message weight 0.5 rarely allows.
  @Property(seed = "17", tries = 500)
  void rulesHoldWithFrequentHedges(@ForAll("runs") List<Step> steps) {
    new Run(Definitions.service(0)).execute(steps);
  }

  @Tag("fuzz")
  @Property(tries = 30_000)
  void rulesHoldForRandomSeeds(@ForAll("runs") List<Step> steps) {
    rulesHoldUnderFaults(steps);
    rulesHoldWithFrequentHedges(steps);
  }

  @Provide
  Arbitrary<List<Step>> runs() {
    return Step.runs(UPSTREAMS);
  }

  private static final class Run {

    private final PausableTimer timer = new PausableTimer();
    private final DispatchSettings settings = DispatchSettings.defaults();
    private final ServiceDefinition service;
    private final RuleOracle oracle;
    private final RecordingTransport transport;
    private final Dispatcher dispatcher;
    private final List<TaskHandle> handles = new ArrayList<>();
    private final Map<String, Map<String, Integer>> peers = new HashMap<>();

    Run(ServiceDefinition service) {
      this.service = service;
      this.oracle = new RuleOracle(timer, service, settings);
      this.transport = new RecordingTransport(oracle::started);
      oracle.transport = transport;
      this.dispatcher = new Dispatcher(timer, transport, new Random(5), settings, oracle);
      for (int i = 0; i < UPSTREAMS; i++) {
        oracle.slots.put(address(i), 2);
      }
      deploy();
    }

    void execute(List<Step> steps) {
      steps.forEach(this::apply);
      finishEverything();
    }

    private void apply(Step step) {
      switch (step) {
        case Step.Submit submit -> submit(submit);
        case Step.Advance advance -> timer.advance(Duration.ofMillis(advance.millis()));
        case Step.Pause pause -> pause(pause);
        case Step.Finish finish -> finish(finish);
        case Step.DuplicateAnswer duplicate -> duplicateAnswer(duplicate.pick());
        case Step.Cancel cancel -> cancel(cancel);
        case Step.Redeploy redeploy -> redeploy(redeploy);
        case Step.Leaving leaving -> {
          oracle.leaving.add(address(leaving.upstream()));
          dispatcher.upstreamLeaving(address(leaving.upstream()));
        }
        case Step.Live live -> {
          oracle.leaving.remove(address(live.upstream()));
          dispatcher.upstreamLive(address(live.upstream()));
        }
        case Step.PeerReport report -> peerReport(report);
        case Step.PeerLeft left -> {
          peers.remove("peer" + left.peer());
          oracle.peerLeft("peer" + left.peer());
          dispatcher.peerLeft("peer" + left.peer());
        }
        case Step.Release release -> {
          oracle.suspendedUntilNanos = Long.MIN_VALUE;
          dispatcher.resumeStarts();
        }
      }
    }

    private void submit(Step.Submit submit) {
      long deadline = timer.nanoTime() + Duration.ofMillis(submit.deadlineMillis()).toNanos();
      for (int i = 0; i < submit.tasks(); i++) {
        String key = "task" + handles.size();
        TaskSpec task =
            Definitions.task(
                key,
                submit.urgent(),
                submit.repeatable(),
                deadline,
                Duration.ofMillis(submit.runMillis() * (i + 1L)));
        oracle.submitted(task);
        handles.add(dispatcher.submit(task, outcome -> oracle.outcome(key, outcome)));
      }
    }

    private void pause(Step.Pause pause) {
      timer.pause(Duration.ofMillis(pause.millis()));
      if (!pause.unnoticed()) {
        Duration suspension = Duration.ofMillis(500);
        oracle.suspendedUntilNanos = timer.nanoTime() + suspension.toNanos();
        dispatcher.suspendStarts(suspension);
      }
    }

    private void finish(Step.Finish finish) {
      List<SentAttempt> open = transport.open();
      for (int i = 0; i < Math.min(finish.count(), open.size()); i++) {
        SentAttempt attempt = open.get((finish.pick() + i) % open.size());
        if (attempt.open()) {
          end(attempt, finish.result());
        }
      }
    }

    private void end(SentAttempt attempt, Step.Result kind) {
      Bytes body = Bytes.ofText(attempt.request.taskKey());
      AttemptResult result =
          switch (kind) {
            case SUCCESS -> new AttemptResult.Answered(200, body, false);
            case FAILURE -> new AttemptResult.Answered(500, body, false);
            case NOT_STARTED -> new AttemptResult.Answered(Definitions.NOT_STARTED, body, false);
            case NOT_SENT -> new AttemptResult.NotSent("refused");
            case LOST -> new AttemptResult.Lost("reset");
          };
      oracle.ending(attempt, result);
      attempt.deliver(result);
    }

    private void duplicateAnswer(int pick) {
      List<SentAttempt> ended = transport.sent.stream().filter(sent -> !sent.open()).toList();
      if (!ended.isEmpty()) {
        ended.get(pick % ended.size()).answer(200);
      }
    }

    private void cancel(Step.Cancel cancel) {
      for (int i = 0; i < cancel.count() && i < handles.size(); i++) {
        handles.get(Math.max(0, handles.size() - 1 - cancel.pick() - i)).cancel();
      }
    }

    private void redeploy(Step.Redeploy redeploy) {
      String address = address(redeploy.upstream());
      Integer before = oracle.slots.get(address);
      if (redeploy.slots() == 0) {
        oracle.slots.remove(address);
        oracle.withdrawn(address);
        oracle.leaving.remove(address);
      } else {
        oracle.slots.put(address, redeploy.slots());
        if (before == null || before != redeploy.slots()) {
          oracle.leaving.remove(address);
        }
      }
      deploy();
    }

    private void peerReport(Step.PeerReport report) {
      String peer = "peer" + report.peer();
      Map<String, Integer> loads = peers.computeIfAbsent(peer, name -> new HashMap<>());
      loads.put(address(report.upstream()), report.inFlight());
      oracle.peerReported(peer, Map.copyOf(loads));
      dispatcher.peerLoads(peer, loads);
    }

    private void deploy() {
      List<UpstreamDefinition> upstreams = new ArrayList<>();
      oracle.slots.forEach((address, n) -> upstreams.add(Definitions.upstream(address, n)));
      dispatcher.deploy(Definitions.deployment(service, upstreams));
    }

    /** Checks that every task ends by its deadline and that no slot or timer is leaked. */
    private void finishEverything() {
      timer.advance(Duration.ofSeconds(5));
      oracle.checkAllFinished();
      assertThat(dispatcher.queuedTasks()).as("queued tasks").isZero();
      assertThat(dispatcher.inFlightByUpstream()).as("slots still used").isEmpty();
      timer.advance(Duration.ofSeconds(70));
      assertThat(timer.pending()).as("timer subscriptions").isLessThanOrEqualTo(2);
    }

    private static String address(int index) {
      return "10.0.0." + index + ":8080";
    }
  }
}
