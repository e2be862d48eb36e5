package org.lovagerack.fleet.job;

import org.lovagerack.fleet.configuration.Queue;

/**
 * Stored record of an accepted job.
 *
 * @param id identifier that the caller chose
 * @param queue queue as configured when the job was accepted
 * @param acceptedByToken fencing token of the owner that accepted the job, or that took it over
 *     from another shard; the run numbers of its tasks start from it
 * @param spec what the caller submitted
 * @param site where the tasks run
 */
public record SubmittedJob(
    String id, Queue queue, long acceptedByToken, JobSpec spec, JobSite site) {

  /** Creates the record of a job that was never transferred. */
  public SubmittedJob(String id, Queue queue, long acceptedByToken, JobSpec spec) {
    this(id, queue, acceptedByToken, spec, JobSite.ORIGIN);
  }

  /** Returns a copy with another site. */
  public SubmittedJob withSite(JobSite newSite) {
    return new SubmittedJob(id, queue, acceptedByToken, spec, newSite);
  }

  /** Returns a copy that was accepted by another owner. */
  public SubmittedJob acceptedBy(long token) {
    return new SubmittedJob(id, queue, token, spec, site);
  }
}
