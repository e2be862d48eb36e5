package org.lovagerack.membership;

/** Receives the changes of a {@link MembershipView}, on the event loop. */
public interface MembershipListener {

  /** A peer connected for the first time. */
  default void joined(Peer peer) {}

  /** No heartbeat of a peer was received for 3 s. */
  default void suspected(Peer peer) {}

  /** A heartbeat of a suspect peer was received again. */
  default void recovered(Peer peer) {}

  /** A new incarnation replaced an earlier one at the same address. */
  default void replaced(Peer earlier, Peer current) {}

  /** The state, the queue, the attempts in flight or the leaving upstreams of a peer changed. */
  default void loadChanged(Peer peer) {}

  /** The applied revision of a peer changed. */
  default void revisionChanged(Peer peer) {}

  /** A departed peer was removed from the view. */
  default void removed(Peer peer) {}
}
