/** Sends attempts to upstreams over HTTP. */
package org.lovagerack.daemon.upstream;
