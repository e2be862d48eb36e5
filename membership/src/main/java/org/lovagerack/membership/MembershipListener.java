package org.lovagerack.membership;

/** Receives the changes of a {@link MembershipView}, on the event loop. */
public interface MembershipListener {

  /** A peer was heard from for the first time. */
  default void joined(Peer peer) {}

  /** A peer was not heard from for 3 s. */
  default void suspected(Peer peer) {}

  /** A suspect peer was heard from again. */
  default void recovered(Peer peer) {}

  /** Another incarnation took the place of an earlier one on the same address. */
  default void replaced(Peer earlier, Peer current) {}

  /** The state, the queue, the attempts in flight or the leaving upstreams of a peer changed. */
  default void loadChanged(Peer peer) {}

  /** The applied revision of a peer changed. */
  default void revisionChanged(Peer peer) {}

  /** A peer that departed was forgotten. */
  default void forgotten(Peer peer) {}
}
