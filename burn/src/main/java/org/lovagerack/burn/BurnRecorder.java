package org.lovagerack.burn;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Counts the jobs of one entry VM by service, outcome and window. Each service takes a fixed amount
 * of memory; only services with an objective are counted, because callers choose the names in
 * submissions that are refused for an unknown service.
 */
public final class BurnRecorder {

  private final TimerService timer;
  private final Map<String, ServiceRecord> services = new HashMap<>();

  public BurnRecorder(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Sets the objective of a service, which is counted from then on.
   *
   * @param share share of jobs that must be on time, between 0 and 1
   * @throws IllegalArgumentException if the share is not between 0 and 1
   */
  public void objective(String service, double share) {
    if (!ServiceBurn.validObjective(share)) {
      throw new IllegalArgumentException(
          "objective of " + service + " is not between 0 and 1: " + share);
    }
    services.computeIfAbsent(service, name -> new ServiceRecord(timer.nanoTime())).objective(share);
  }

  /** Forgets a service that was withdrawn, and its counts. */
  public void withdraw(String service) {
    services.remove(service);
  }

  /**
   * Counts a job, unless its service has no objective.
   *
   * @param responseTime time from receipt to the answer or failure; used if the job was on time or
   *     late, so that quick refusals do not make a service look fast
   */
  public void record(String service, BurnOutcome outcome, Duration responseTime) {
    ServiceRecord record = services.get(service);
    if (record != null) {
      record.add(timer.nanoTime(), outcome, responseTime);
    }
  }

  /** Returns the present counts. */
  public BurnSnapshot snapshot() {
    long now = timer.nanoTime();
    Map<String, ServiceBurn> burns = new HashMap<>();
    services.forEach((name, record) -> burns.put(name, record.snapshot(now)));
    return new BurnSnapshot(burns);
  }
}
