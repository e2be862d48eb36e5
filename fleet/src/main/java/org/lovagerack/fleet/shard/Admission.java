package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.Optional;
import org.lovagerack.fleet.job.Objective;

/**
 * Refuses jobs that cannot end in useful time when they are submitted. Without this check, a burst
 * above the capacity of the workers grows the queue until every job is late.
 */
final class Admission {

  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

  private Admission() {}

  /**
   * Decides whether to accept a job.
   *
   * @param queuedWork queued work that would be placed before the job, in core-seconds
   * @param capacity cores of the workers, weighted by worker speed
   * @param ownDuration expected duration of the job itself
   * @param objective response time objective of the job
   * @return the delay before the client retries if the job is refused; empty if it is accepted
   */
  static Optional<Duration> decide(
      double queuedWork, double capacity, Duration ownDuration, Duration objective) {
    if (capacity <= 0) {
      return Optional.of(Duration.ofSeconds(1));
    }
    double queueSeconds = queuedWork / capacity;
    double usefulSeconds = Objective.usefulTime(objective).toNanos() / 1e9;
    double excessSeconds = queueSeconds + ownDuration.toNanos() / 1e9 - usefulSeconds;
    if (excessSeconds <= 0) {
      return Optional.empty();
    }
    Duration retryAfter = Duration.ofSeconds((long) Math.ceil(excessSeconds));
    return Optional.of(retryAfter.compareTo(MAX_RETRY_AFTER) < 0 ? retryAfter : MAX_RETRY_AFTER);
  }
}
