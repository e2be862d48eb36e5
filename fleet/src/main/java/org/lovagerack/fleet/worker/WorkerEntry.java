package org.lovagerack.fleet.worker;

import java.time.Duration;
import java.util.Set;
import org.lovagerack.fleet.job.Resources;

/**
 * Entry of a worker in the platform's directory.
 *
 * @param id identity
 * @param service service that the worker belongs to
 * @param address IP number and port
 * @param failureDomain failure domain
 * @param draining whether the worker shuts down soon and accepts no further tasks
 * @param capacity total resources for tasks
 * @param labels labels, among them its kind and its rack
 * @param incarnation start time of the process, Unix milliseconds; 0 if the entry does not contain
 *     it
 * @param coldRemaining time for which the worker remained slow after its start when it wrote the
 *     entry; zero if it is warm
 */
public record WorkerEntry(
    WorkerId id,
    String service,
    String address,
    String failureDomain,
    boolean draining,
    Resources capacity,
    Set<String> labels,
    long incarnation,
    Duration coldRemaining) {

  /** Bound of the remaining cold time, far above any warm-up; sums of times cannot overflow. */
  public static final Duration MAX_COLD_REMAINING = Duration.ofDays(1);

  /**
   * @throws IllegalArgumentException if the remaining cold time is negative or too long
   */
  public WorkerEntry {
    labels = Set.copyOf(labels);
    if (coldRemaining.isNegative() || coldRemaining.compareTo(MAX_COLD_REMAINING) > 0) {
      throw new IllegalArgumentException("a remaining cold time of " + coldRemaining);
    }
  }

  /** Returns whether this entry and another have the same values except for the cold time. */
  public boolean equalsExceptColdTime(WorkerEntry other) {
    return equals(other.withColdRemaining(coldRemaining));
  }

  private WorkerEntry withColdRemaining(Duration remaining) {
    return new WorkerEntry(
        id, service, address, failureDomain, draining, capacity, labels, incarnation, remaining);
  }
}
