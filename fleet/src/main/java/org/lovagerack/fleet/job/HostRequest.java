package org.lovagerack.fleet.job;

/**
 * Request to run a durable job that another shard has accepted, or to cancel it. Repeating a
 * request has no further effect.
 *
 * @param job the job, as the host stores it
 * @param progress progress at the time of the transfer
 * @param cancel whether the job is cancelled instead
 */
public record HostRequest(SubmittedJob job, JobProgress progress, boolean cancel) {}
