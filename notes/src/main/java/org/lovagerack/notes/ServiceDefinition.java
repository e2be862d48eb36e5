package org.lovagerack.notes;

import java.time.Duration;
import java.util.Set;

/**
 * A service as release notes define it.
 *
 * @param name unique name
 * @param path HTTP path of its upstreams
 * @param messageWeight weight of wasted messages against response time, 0 to 1: at 0 only response
 *     time counts, at 1 only wasted messages; determines the hedge budget
 * @param retryBudget fraction of starts that may be retries, 0 to 1; default 0.1
 * @param maxAttempts maximum number of attempts of one repeatable task, including hedges; at least
 *     1; default 3
 * @param maxQueuedTasks maximum number of tasks that are queued in one entry VM
 * @param maxRunTime maximum run time of a task; an attempt that takes longer is abandoned
 * @param notStartedStatuses HTTP statuses with which upstreams report that a task was not started;
 *     none by default
 * @param objective fraction of jobs that must be answered completely and on time, between 0 and 1
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
