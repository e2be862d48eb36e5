/** Calls between entry VMs: forwarding to owners, catching up on notes, handover of answers. */
package org.lovagerack.daemon.peer;
