package org.lovagerack.membership;

/**
 * The last known state of a peer of the own failure domain.
 *
 * @param address peer address
 * @param incarnation random number that identifies the process
 * @param status last reported status
 * @param suspect whether no heartbeat was received for 3 s
 * @param lastReceivedNanos timer time of the last handshake or heartbeat
 */
public record Peer(
    String address, long incarnation, LocalStatus status, boolean suspect, long lastReceivedNanos) {

  /** Returns whether the peer uses a share of the upstreams. */
  public boolean countedInShares() {
    return !suspect && (status.state() == PeerState.SERVING || !status.idle());
  }

  Peer withStatus(LocalStatus newStatus, long nowNanos) {
    return new Peer(address, incarnation, newStatus, false, nowNanos);
  }

  Peer asSuspect() {
    return new Peer(address, incarnation, status, true, lastReceivedNanos);
  }
}
