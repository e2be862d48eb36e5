package org.lovagerack.fleet.job;

import java.util.Optional;

/**
 * Stored record of a job that has ended in its shard.
 *
 * @param state final state; {@link JobState#QUEUED} if the job was handed back
 * @param endedAtMillis time of the end, Unix milliseconds
 * @param handback what the shard that accepted the job needs to continue it; empty unless the job
 *     was handed back
 */
public record EndedJob(JobState state, long endedAtMillis, Optional<CarriedState> handback) {

  /** Creates the record of a job with a final state. */
  public EndedJob(JobState state, long endedAtMillis) {
    this(state, endedAtMillis, Optional.empty());
  }

  /** Returns the answer to the shard that transferred the job. */
  public JobAnswer answerToHome() {
    return handback
        .<JobAnswer>map(JobAnswer.HandedBack::new)
        .orElseGet(() -> new JobAnswer.State(state));
  }
}
