/**
 * Peers of the entry VMs and the peer protocol. {@link org.lovagerack.membership.PeerNetwork} holds
 * the connections, {@link org.lovagerack.membership.MembershipView} knows who is alive. Everything
 * except the handshake and the framing runs on the caller's event loop.
 */
package org.lovagerack.membership;
