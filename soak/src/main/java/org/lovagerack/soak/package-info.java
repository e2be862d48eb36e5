/**
 * Randomized soak test: starts real entry VM processes behind loopback proxies, injects overlapping
 * faults into processes, connections, store and workers while clients submit jobs, and checks the
 * guarantees of lovagerack.
 */
package org.lovagerack.soak;
