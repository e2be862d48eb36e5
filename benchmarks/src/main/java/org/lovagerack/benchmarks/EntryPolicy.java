package org.lovagerack.benchmarks;

import java.util.Map;
import java.util.Optional;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.notes.Deployment;

/** A dispatcher of one entry VM together with what it learns from outside. */
interface EntryPolicy extends TaskDispatcher {

  void deploy(Deployment deployment);

  void upstreamLeaving(String upstream);

  /** Takes a peer's report of its attempts in flight. */
  void peerLoads(String peer, Map<String, Integer> inFlightByUpstream);

  /** Returns the report for the peers; empty if the policy exchanges none. */
  Optional<Map<String, Integer>> inFlightByUpstream();
}
