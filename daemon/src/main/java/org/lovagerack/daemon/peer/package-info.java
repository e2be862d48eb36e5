/** Calls between entry VMs: forwarded requests, release notes, reports and handover of answers. */
package org.lovagerack.daemon.peer;
