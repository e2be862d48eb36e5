package org.lovagerack.fleet.job;

import org.lovagerack.fleet.configuration.Queue;

/**
 * Stored record of an accepted job.
 *
 * @param id identifier that the caller chose
 * @param queue queue as configured when the job was accepted
 * @param acceptedByToken fencing token of the owner that accepted the job; the run numbers of its
 *     tasks start from it
 * @param spec what the caller submitted
 */
public record SubmittedJob(String id, Queue queue, long acceptedByToken, JobSpec spec) {}
