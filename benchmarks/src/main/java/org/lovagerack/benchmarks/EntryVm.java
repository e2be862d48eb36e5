package org.lovagerack.benchmarks;

import java.util.Map;

/** One entry VM: its event loop, its connections and its dispatcher. */
record EntryVm(String name, EntryLoop loop, FakeTransport transport, EntryPolicy policy) {

  /** Passes a peer's report to the dispatcher, on its event loop. */
  void receiveReport(String peer, Map<String, Integer> report) {
    loop.execute(() -> policy.peerLoads(peer, report));
  }
}
