package org.lovagerack.fleet.job;

import java.time.Duration;
import java.util.Optional;
import org.lovagerack.fleet.configuration.Queue;

/**
 * A job as submitted by a client, or to the next owner or another shard with what it has run.
 *
 * @param jobId identifier that the client chose
 * @param queue queue that the client addressed
 * @param spec specification of the job
 * @param clientTimeout how long the client waits for the answer
 * @param entry entry VM process that the client is connected to
 * @param repeated whether a former owner may have received the job
 * @param carried what the job has run elsewhere; empty if a client submitted it or it is not known
 * @param redirectable whether the answer may redirect a job that has not run to another shard
 */
public record Submission(
    String jobId,
    Queue queue,
    JobSpec spec,
    Duration clientTimeout,
    EntryId entry,
    boolean repeated,
    Optional<CarriedState> carried,
    boolean redirectable) {

  /** Creates the submission of a client, or of a shard's owner to another shard. */
  public Submission(
      String jobId,
      Queue queue,
      JobSpec spec,
      Duration clientTimeout,
      EntryId entry,
      boolean repeated,
      Optional<CarriedState> carried) {
    this(jobId, queue, spec, clientTimeout, entry, repeated, carried, false);
  }

  /** Creates the submission of a client. */
  public Submission(
      String jobId,
      Queue queue,
      JobSpec spec,
      Duration clientTimeout,
      EntryId entry,
      boolean repeated) {
    this(jobId, queue, spec, clientTimeout, entry, repeated, Optional.empty());
  }

  /** Returns a copy that is marked as possibly received by a former owner. */
  public Submission asRepeated() {
    return new Submission(jobId, queue, spec, clientTimeout, entry, true, carried, false);
  }

  /** Returns a copy with another value of {@code redirectable}. */
  public Submission withRedirectable(boolean allowed) {
    return new Submission(jobId, queue, spec, clientTimeout, entry, repeated, carried, allowed);
  }

  /** Returns a copy for the next owner, with what a former owner has run. */
  public Submission continuing(CarriedState state) {
    return new Submission(jobId, queue, spec, clientTimeout, entry, true, Optional.of(state));
  }
}
