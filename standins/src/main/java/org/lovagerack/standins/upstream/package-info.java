/** A stand-in of an upstream: an HTTP server with slots, a speed, faults and a count of starts. */
package org.lovagerack.standins.upstream;
