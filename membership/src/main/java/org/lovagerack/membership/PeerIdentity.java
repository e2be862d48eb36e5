package org.lovagerack.membership;

/** Who is at one end of a connection. */
record PeerIdentity(String failureDomain, String address, long incarnation) {}
