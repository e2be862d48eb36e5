package org.lovagerack.fleet.entry;

import java.util.List;
import java.util.function.Consumer;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.JobService;

/** Adds up the pending jobs of a queue over several services; returns the first failure if any. */
final class PendingJobCounter {

  private final Consumer<JobAnswer> callback;
  private int outstanding;
  private long sum;

  private PendingJobCounter(int outstanding, Consumer<JobAnswer> callback) {
    this.outstanding = outstanding;
    this.callback = callback;
  }

  /** Queries all services and calls back once with the sum or the first failure. */
  static void count(List<JobService> services, String queueName, Consumer<JobAnswer> callback) {
    if (services.isEmpty()) {
      callback.accept(new JobAnswer.Pending(0));
      return;
    }
    PendingJobCounter counter = new PendingJobCounter(services.size(), callback);
    services.forEach(service -> service.pending(queueName, counter::add));
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
