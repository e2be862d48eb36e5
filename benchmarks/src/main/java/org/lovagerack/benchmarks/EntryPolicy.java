package org.lovagerack.benchmarks;

import java.util.Map;
import java.util.Optional;
import org.lovagerack.dispatch.TaskDispatcher;
import org.lovagerack.notes.Deployment;

/** The dispatcher of one entry VM, with its inputs from release notes and peers. */
interface EntryPolicy extends TaskDispatcher {

  void deploy(Deployment deployment);

  void upstreamLeaving(String upstream);

  /** Processes a peer's report of its attempts in flight. */
  void peerLoads(String peer, Map<String, Integer> inFlightByUpstream);

  /** Returns the report to send to peers; empty if the policy sends no reports. */
  Optional<Map<String, Integer>> inFlightByUpstream();
}
