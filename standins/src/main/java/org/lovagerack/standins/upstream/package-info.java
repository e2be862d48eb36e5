/** Stand-in for an upstream: an HTTP server with slots, a speed, faults and counts of starts. */
package org.lovagerack.standins.upstream;
