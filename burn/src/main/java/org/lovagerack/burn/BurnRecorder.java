package org.lovagerack.burn;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Counts the jobs of one entry VM by service, outcome and window. Each service uses a fixed amount
 * of memory. Only services with an objective are counted, because submissions that are refused for
 * an unknown service carry names that callers choose.
 */
public final class BurnRecorder {

  private final TimerService timer;
  private final Map<String, ServiceRecorder> services = new HashMap<>();

  public BurnRecorder(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Sets the objective of a service and counts its jobs from then on.
   *
   * @param share fraction of jobs that must be on time, between 0 and 1
   * @throws IllegalArgumentException if the share is not between 0 and 1
   */
  public void objective(String service, double share) {
    if (!ServiceBurn.validObjective(share)) {
      throw new IllegalArgumentException(
          "objective of " + service + " is not between 0 and 1: " + share);
    }
    services
        .computeIfAbsent(service, name -> new ServiceRecorder(timer.nanoTime()))
        .objective(share);
  }

  /** Removes a service that was withdrawn, with its counts. */
  public void withdraw(String service) {
    services.remove(service);
  }

  /**
   * Counts a job, unless its service has no objective.
   *
   * @param responseTime time from receipt to the answer or failure; recorded only if the job was on
   *     time or late, because fast refusals would make the service appear faster
   */
  public void record(String service, BurnOutcome outcome, Duration responseTime) {
    ServiceRecorder recorder = services.get(service);
    if (recorder != null) {
      recorder.add(timer.nanoTime(), outcome, responseTime);
    }
  }

  /** Returns the current counts. */
  public BurnSnapshot snapshot() {
    long now = timer.nanoTime();
    Map<String, ServiceBurn> burns = new HashMap<>();
    services.forEach((name, recorder) -> burns.put(name, recorder.snapshot(now)));
    return new BurnSnapshot(burns);
  }
}
