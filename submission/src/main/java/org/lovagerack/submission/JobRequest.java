package org.lovagerack.submission;

import java.time.Duration;
import java.util.List;

/**
 * A job as its caller describes it.
 *
 * @param service name of the service
 * @param kind request kind
 * @param team team whose quota it counts against
 * @param urgent whether it goes before jobs that are not urgent
 * @param timeLimit time until the answer is due, from the receipt of the request
 * @param tasks 1 to 150 tasks
 */
public record JobRequest(
    String service,
    String kind,
    String team,
    boolean urgent,
    Duration timeLimit,
    List<TaskRequest> tasks) {

  public JobRequest {
    tasks = List.copyOf(tasks);
  }
}
