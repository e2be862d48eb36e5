/** Limits on the connections, requests and memory that the clients of a port may use. */
package org.lovagerack.eventloop.server;
