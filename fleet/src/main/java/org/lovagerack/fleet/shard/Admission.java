package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Optional;
import org.lovagerack.fleet.job.Objective;

/**
 * Refuses at once what can no longer be served in useful time. Answers bursts over the capacity of
 * the workers: without it the queue grows until every job is late.
 */
final class Admission {

  private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(30);

  private Admission() {}

  /**
   * Decides on a job.
   *
   * @param queuedWork work that waits and would be placed before it, core-seconds
   * @param capacity cores of the workers, weighted by their speeds
   * @param ownDuration expected duration of the job itself
   * @param objective objective of the job
   * @return when to try again if the job is to be refused; empty if it is accepted
   */
  static Optional<Duration> decide(
      double queuedWork, double capacity, Duration ownDuration, Duration objective) {
    if (capacity <= 0) {
      return Optional.of(Duration.ofSeconds(1));
    }
    double wait = queuedWork / capacity;
    double useful = Objective.useful(objective).toNanos() / 1e9;
    double excess = wait + ownDuration.toNanos() / 1e9 - useful;
    if (excess <= 0) {
      return Optional.empty();
    }
    Duration retryAfter = Duration.ofSeconds((long) Math.ceil(excess));
    return Optional.of(
        retryAfter.compareTo(LONGEST_RETRY_AFTER) < 0 ? retryAfter : LONGEST_RETRY_AFTER);
  }
}
