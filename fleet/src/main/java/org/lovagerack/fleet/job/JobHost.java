package org.lovagerack.fleet.job;

import java.util.function.Consumer;

/**
 * Calls of one shard's owner to the owner of another shard, whose workers can run a job. Only
 * best-effort jobs are submitted. The answer to one is its final state, a {@link
 * JobAnswer.HandedBack}, a refusal if nothing of it has run since the submission, or unknown.
 */
public interface JobHost extends JobReceiver {

  /**
   * Requests that a durable job is run or cancelled. The answer is its final state, a {@link
   * JobAnswer.HandedBack}, or its present state after a while.
   */
  void host(HostRequest request, Consumer<JobAnswer> callback);
}
