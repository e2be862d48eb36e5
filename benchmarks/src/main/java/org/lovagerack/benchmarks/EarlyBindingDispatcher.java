package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.AttemptRequest;
import org.lovagerack.dispatch.AttemptResult;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskListener;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.notes.Deployment;

/**
 * Baseline policy that binds each task to an upstream on arrival, admits every job and has no
 * queue. Retries a task only if it is repeatable or was not sent.
 */
final class EarlyBindingDispatcher implements EntryPolicy {

  private static final int MAX_ATTEMPTS = 3;

  private final TimerService timer;
  private final UpstreamTransport transport;
  private final UpstreamSelector selector;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final TreeSet<String> leaving = new TreeSet<>();
  private List<String> candidates = List.of();
  private Deployment deployment = Deployment.empty();

  EarlyBindingDispatcher(
      TimerService timer, UpstreamTransport transport, UpstreamSelector selector) {
    this.timer = timer;
    this.transport = transport;
    this.selector = selector;
  }

  @Override
  public void deploy(Deployment inForce) {
    deployment = inForce;
    updateCandidates();
  }

  @Override
  public void upstreamLeaving(String upstream) {
    leaving.add(upstream);
    updateCandidates();
  }

  @Override
  public void peerLoads(String peer, Map<String, Integer> inFlightByUpstream) {}

  @Override
  public Optional<Map<String, Integer>> inFlightByUpstream() {
    return Optional.empty();
  }

  @Override
  public Optional<Failure> admit(AdmissionRequest job) {
    return Optional.empty();
  }

  @Override
  public TaskHandle submit(TaskSpec spec, TaskListener listener) {
    BoundTask task = new BoundTask(this, timer, spec, listener);
    task.start();
    return task;
  }

  /** Starts the next attempt of a task on the upstream chosen by the selector. */
  void startAttempt(BoundTask task) {
    TaskSpec spec = task.spec();
    String upstream = selector.select(candidates, inFlight);
    inFlight.merge(upstream, 1, Integer::sum);
    AttemptRequest request =
        new AttemptRequest(
            upstream,
            deployment.services().get(spec.service()).path(),
            spec.key(),
            task.nextAttempt(),
            task.remaining(),
            spec.body(),
            false);
    task.attemptStarted(
        upstream, transport.start(request, result -> onAttemptResult(task, upstream, result)));
  }

  /** Decrements the number of attempts in flight to an upstream. */
  void attemptEnded(String upstream) {
    inFlight.merge(upstream, -1, Integer::sum);
  }

  boolean hasAttemptsLeft(BoundTask task) {
    return task.attempts() < MAX_ATTEMPTS;
  }

  private void onAttemptResult(BoundTask task, String upstream, AttemptResult result) {
    attemptEnded(upstream);
    task.onResult(result);
  }

  private void updateCandidates() {
    candidates = new ArrayList<>(new TreeSet<>(deployment.upstreams().keySet()));
    candidates.removeAll(leaving);
  }
}
