package org.lovagerack.membership;

/**
 * A peer of the own failure domain as last heard from.
 *
 * @param address peer address
 * @param incarnation random number of the process
 * @param status what the process reported last
 * @param suspect whether it was not heard from for 3 s
 * @param lastHeardNanos timer time at which it was last heard from
 */
public record Peer(
    String address, long incarnation, LocalStatus status, boolean suspect, long lastHeardNanos) {

  /** Returns whether the peer takes a share of the upstreams. */
  public boolean countedInShares() {
    return !suspect && (status.state() == PeerState.SERVING || !status.idle());
  }

  Peer heard(LocalStatus newStatus, long nowNanos) {
    return new Peer(address, incarnation, newStatus, false, nowNanos);
  }

  Peer suspected() {
    return new Peer(address, incarnation, status, true, lastHeardNanos);
  }
}
