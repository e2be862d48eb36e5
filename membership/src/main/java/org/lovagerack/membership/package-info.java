/**
 * Membership of the entry VMs and the peer protocol. {@link org.lovagerack.membership.PeerNetwork}
 * manages the connections, and {@link org.lovagerack.membership.MembershipView} tracks which peers
 * are alive. Everything except the handshake and the framing runs on the caller's event loop.
 */
package org.lovagerack.membership;
