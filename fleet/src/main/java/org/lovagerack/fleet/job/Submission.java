package org.lovagerack.fleet.job;

import java.time.Duration;
import org.lovagerack.fleet.configuration.Queue;

/**
 * A job as a client hands it in.
 *
 * @param jobId identifier that the client chose
 * @param queue queue that the client addressed
 * @param spec what is to be done
 * @param patience how long the client waits for the answer
 * @param entry process that holds the client's connection
 * @param repeated whether an earlier owner may have received the job
 */
public record Submission(
    String jobId, Queue queue, JobSpec spec, Duration patience, EntryId entry, boolean repeated) {

  /** Returns the submission as one that an earlier owner may have received. */
  public Submission asRepeated() {
    return new Submission(jobId, queue, spec, patience, entry, true);
  }
}
