package org.lovagerack.fleet.job;

/**
 * Identity of one process of an entry VM.
 *
 * @param incarnation random number that the process chose when it started
 */
public record EntryId(long incarnation) {}
