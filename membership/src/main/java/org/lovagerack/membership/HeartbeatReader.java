package org.lovagerack.membership;

import java.util.Set;
import org.lovagerack.foundation.error.LovagerackException;
import org.lovagerack.membership.generated.PeerProtocol.Heartbeat;

/** Reconstructs the status of a peer from the heartbeats received on one connection. */
final class HeartbeatReader {

  private final int limitBytes;
  private final LoadReader loads = new LoadReader();
  private Set<String> leaving = Set.of();

  HeartbeatReader(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  LocalStatus read(Heartbeat heartbeat) throws LovagerackException {
    loads.apply(CompressedLoads.read(heartbeat, limitBytes));
    if (heartbeat.hasLeaving()) {
      leaving = Set.copyOf(heartbeat.getLeaving().getUpstreamsList());
    }
    return new LocalStatus(
        heartbeat.getState() == Heartbeat.State.DRAINING ? PeerState.DRAINING : PeerState.SERVING,
        heartbeat.getRevision(),
        heartbeat.getQueuedTasks(),
        loads.inFlight(),
        heartbeat.getVmListVersion(),
        leaving);
  }
}
