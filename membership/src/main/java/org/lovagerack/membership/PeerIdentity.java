package org.lovagerack.membership;

/** Identity of the process at one end of a connection. */
record PeerIdentity(String failureDomain, String address, long incarnation) {}
