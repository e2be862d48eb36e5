package org.lovagerack.fleet.job;

import java.time.Duration;
import org.lovagerack.fleet.configuration.Queue;

/**
 * A job as submitted by a client.
 *
 * @param jobId identifier that the client chose
 * @param queue queue that the client addressed
 * @param spec specification of the job
 * @param clientTimeout how long the client waits for the answer
 * @param entry entry VM process that the client is connected to
 * @param repeated whether a former owner may have received the job
 */
public record Submission(
    String jobId,
    Queue queue,
    JobSpec spec,
    Duration clientTimeout,
    EntryId entry,
    boolean repeated) {

  /** Returns a copy that is marked as possibly received by a former owner. */
  public Submission asRepeated() {
    return new Submission(jobId, queue, spec, clientTimeout, entry, true);
  }
}
