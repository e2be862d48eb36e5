package org.lovagerack.standins;

/**
 * Number of calls that took effect at the platform stand-in.
 *
 * @param reads reads of rows, objects and VM lists, and scans
 * @param writes committed transactions and written objects
 * @param conflicts transactions whose conditions did not hold
 */
public record PlatformCounts(long reads, long writes, long conflicts) {}
