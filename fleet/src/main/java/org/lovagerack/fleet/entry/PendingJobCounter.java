package org.lovagerack.fleet.entry;

import java.util.List;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;

/** Adds up the pending jobs of a queue over all shards; returns the first failure if any. */
final class PendingJobCounter {

  private final Consumer<JobAnswer> callback;
  private int outstanding;
  private long sum;

  private PendingJobCounter(int outstanding, Consumer<JobAnswer> callback) {
    this.outstanding = outstanding;
    this.callback = callback;
  }

  /** Queries each shard, and calls back once with the sum or the first failure. */
  static void count(
      List<ShardOwnerTracker> shards, String queueName, Consumer<JobAnswer> callback) {
    PendingJobCounter counter = new PendingJobCounter(shards.size(), callback);
    shards.forEach(shard -> shard.pending(queueName, counter::add));
  }

  private void add(JobAnswer answer) {
    if (outstanding == 0) {
      return;
    }
    if (answer instanceof JobAnswer.Pending pending) {
      sum += pending.jobs();
      outstanding--;
      if (outstanding == 0) {
        callback.accept(new JobAnswer.Pending(sum));
      }
    } else {
      outstanding = 0;
      callback.accept(answer);
    }
  }
}
