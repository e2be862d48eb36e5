package org.lovagerack.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums of the attempts in flight per upstream over the peers that use a share of the upstreams.
 * They are updated incrementally because the dispatcher reads one for every task.
 */
final class PeerLoads {

  private final Map<String, Integer> totals = new HashMap<>();

  int total(String upstream) {
    return totals.getOrDefault(upstream, 0);
  }

  void replace(Peer earlier, Peer current) {
    add(earlier, -1);
    add(current, 1);
  }

  private void add(Peer peer, int sign) {
    if (!peer.countedInShares()) {
      return;
    }
    peer.status()
        .inFlight()
        .forEach(
            (upstream, count) ->
                totals.merge(upstream, sign * count, (left, right) -> zeroToNull(left + right)));
  }

  private static Integer zeroToNull(int sum) {
    return sum == 0 ? null : Integer.valueOf(sum);
  }
}
