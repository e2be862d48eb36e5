package org.lovagerack.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums of the attempts in flight that the peers in shares reported, kept up to date so that the
 * dispatcher can read one for every task.
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
