package org.lovagerack.submission;

import java.time.Duration;
import java.util.List;

/**
 * A job as submitted by a caller.
 *
 * @param service name of the service
 * @param kind request kind
 * @param team team whose quota the job counts against
 * @param urgent whether the job has priority over jobs that are not urgent
 * @param timeLimit time from the receipt of the request to the deadline
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
