package org.lovagerack.benchmarks;

import java.util.Map;
import java.util.Optional;
import org.lovagerack.dispatch.AdmissionRequest;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.dispatch.TaskHandle;
import org.lovagerack.dispatch.TaskListener;
import org.lovagerack.dispatch.TaskSpec;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.notes.Deployment;

/** Adapts the dispatcher of the entry daemon to the comparison. */
record LateBindingPolicy(Dispatcher dispatcher) implements EntryPolicy {

  @Override
  public void deploy(Deployment deployment) {
    dispatcher.deploy(deployment);
  }

  @Override
  public void upstreamLeaving(String upstream) {
    dispatcher.upstreamLeaving(upstream);
  }

  @Override
  public void peerLoads(String peer, Map<String, Integer> inFlightByUpstream) {
    dispatcher.peerLoads(peer, inFlightByUpstream);
  }

  @Override
  public Optional<Map<String, Integer>> inFlightByUpstream() {
    return Optional.of(dispatcher.inFlightByUpstream());
  }

  @Override
  public Optional<Failure> admit(AdmissionRequest job) {
    return dispatcher.admit(job);
  }

  @Override
  public TaskHandle submit(TaskSpec task, TaskListener listener) {
    return dispatcher.submit(task, listener);
  }
}
