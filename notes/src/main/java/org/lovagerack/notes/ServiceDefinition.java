package org.lovagerack.notes;

import java.time.Duration;
import java.util.Set;

/**
 * A service as release notes define it.
 *
 * @param name unique name
 * @param path HTTP path of its upstreams
 * @param messageWeight 0 weighs response time only, 1 wasted messages only; it sets the hedge
 *     budget
 * @param retryBudget share of starts that may be retries, 0 to 1; a note that leaves it out means
 *     0.1
 * @param maxAttempts largest number of attempts of one repeatable task, hedges included; at least
 *     1; a note that leaves it out means 3
 * @param maxQueuedTasks largest number of tasks that wait in one entry VM
 * @param maxRunTime no task of the service takes longer; an attempt that does is given up
 * @param notStartedStatuses HTTP statuses by which its upstreams say that the task was not started;
 *     a note that leaves it out means none
 * @param objective share of jobs that must be on time and answered whole, between 0 and 1
 */
public record ServiceDefinition(
    String name,
    String path,
    double messageWeight,
    double retryBudget,
    int maxAttempts,
    int maxQueuedTasks,
    Duration maxRunTime,
    Set<Integer> notStartedStatuses,
    double objective) {

  public ServiceDefinition {
    notStartedStatuses = Set.copyOf(notStartedStatuses);
  }
}
