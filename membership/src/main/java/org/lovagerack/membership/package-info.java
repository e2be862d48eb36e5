/** Peers of the entry VMs and the peer protocol. */
package org.lovagerack.membership;
