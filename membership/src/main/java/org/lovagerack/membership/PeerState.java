package org.lovagerack.membership;

/** Whether an entry VM accepts new submissions. */
public enum PeerState {
  SERVING,
  DRAINING
}
