package org.lovagerack.membership;

import java.util.Map;
import java.util.Set;

/**
 * Status that an entry VM reports to the peers of its failure domain.
 *
 * @param state whether it accepts new submissions
 * @param revision applied revision of the deployment
 * @param queuedTasks number of tasks that are queued in the entry VM
 * @param inFlight attempts in flight per upstream address; zero counts may be omitted
 * @param vmListVersion version of the newest VM list that it has received
 * @param leavingUpstreams addresses of upstreams that, to its knowledge, are shutting down
 */
public record LocalStatus(
    PeerState state,
    long revision,
    int queuedTasks,
    Map<String, Integer> inFlight,
    long vmListVersion,
    Set<String> leavingUpstreams) {

  /**
   * @throws IllegalArgumentException if a count is negative
   */
  public LocalStatus {
    inFlight = Map.copyOf(inFlight);
    inFlight.forEach(
        (upstream, count) -> {
          if (count < 0) {
            throw new IllegalArgumentException(count + " attempts in flight to " + upstream);
          }
        });
    leavingUpstreams = Set.copyOf(leavingUpstreams);
  }

  /** Returns the status of an entry VM that has not reported anything yet. */
  public static LocalStatus initial() {
    return new LocalStatus(PeerState.SERVING, 0, 0, Map.of(), 0, Set.of());
  }

  boolean idle() {
    return inFlight.values().stream().allMatch(count -> count == 0);
  }
}
