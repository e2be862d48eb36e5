package org.lovagerack.fleet.job;

import org.lovagerack.fleet.configuration.Queue;

/**
 * A job as it is stored when it is accepted.
 *
 * @param id identifier that the caller chose
 * @param queue queue as it was configured at acceptance
 * @param acceptedByToken fencing token of the owner that accepted the job; the numbers of its runs
 *     start from there
 * @param spec what the caller submitted
 */
public record SubmittedJob(String id, Queue queue, long acceptedByToken, JobSpec spec) {}
