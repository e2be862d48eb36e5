package org.lovagerack.fleet.configuration;

import java.time.Duration;

/**
 * A queue of jobs, addressed by host and path.
 *
 * @param name name, unique in a configuration
 * @param host host that callers address
 * @param prefix prefix of the path; the job's identifier follows it
 * @param service service whose workers run the queue's tasks
 * @param priority priority, 0 is the highest
 * @param attempts number of failed runs of one task after which its job fails
 * @param stretch factor by which a job's critical path is multiplied in its objective
 * @param targetLatency time that is added to the multiplied critical path in a job's objective
 */
public record Queue(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int attempts,
    double stretch,
    Duration targetLatency) {

  private static final double MAX_STRETCH = 1000;
  private static final Duration MAX_TARGET_LATENCY = Duration.ofDays(1);

  /**
   * @throws IllegalArgumentException if a number is out of range
   */
  public Queue {
    if (attempts < 1) {
      throw new IllegalArgumentException("queue " + name + " with attempts " + attempts);
    }
    if (!(stretch >= 0 && stretch <= MAX_STRETCH)) {
      throw new IllegalArgumentException("queue " + name + " with stretch " + stretch);
    }
    if (targetLatency.isNegative() || targetLatency.compareTo(MAX_TARGET_LATENCY) > 0) {
      throw new IllegalArgumentException("queue " + name + " with target " + targetLatency);
    }
  }
}
