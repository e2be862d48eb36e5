package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/** Calls of one shard's owner to the owner of another shard, whose workers can run a job. */
public interface JobHost {

  /** Submits a best-effort job, which is answered when it has ended. */
  void submit(Submission submission, Consumer<JobAnswer> callback);

  /** Reports that no client waits for a best-effort job any more. */
  void abandon(Submission submission);

  /**
   * Requests that a durable job is run or cancelled. The answer is its final state, a {@link
   * JobAnswer.HandedBack}, or its present state after a while.
   */
  void host(HostRequest request, Consumer<JobAnswer> callback);
}
