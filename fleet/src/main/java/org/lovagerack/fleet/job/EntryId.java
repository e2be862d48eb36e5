package org.lovagerack.fleet.job;

/**
 * One process of an entry VM.
 *
 * @param incarnation random number of the process
 */
public record EntryId(long incarnation) {}
