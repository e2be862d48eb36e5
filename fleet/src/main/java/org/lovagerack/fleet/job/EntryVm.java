package org.lovagerack.fleet.job;

/**
 * An entry VM.
 *
 * @param id identity of its process
 * @param address IP address and port for other entry VMs
 * @param failureDomain failure domain
 */
public record EntryVm(EntryId id, String address, String failureDomain) {}
