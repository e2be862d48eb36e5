package org.lovagerack.dispatch;

import java.time.Duration;

/**
 * Settings of the dispatcher.
 *
 * @param failureDomain failure domain whose upstreams are used; empty for all
 * @param lookAhead number of queued tasks of a service that one routing pass considers
 * @param releaseWindow number of expected slot releases that one routing pass considers
 * @param maxRetriesPerTask retries of one task, hedges not included
 * @param maxUnsentAttempts attempts of one task that may end unsent before the task fails
 * @param unsentDelay initial backoff, which applies after the second unsent attempt of a task and
 *     doubles with each further one
 * @param budgetReserve initial retry budget of a service, before its first starts add to it
 * @param hedgeShare fraction of starts that may be hedges at message weight 0
 * @param ejectAfter consecutive failures that eject an upstream
 * @param firstEjection duration of the first ejection; doubles with each further one
 * @param maxEjection maximum duration of an ejection
 * @param overdueFactor multiple of the expected run time after which an attempt is overdue
 * @param overdueMinimum minimum time after which an attempt is overdue
 * @param idleConnectionTime time without use after which connections to an upstream are closed
 * @param peerReportTimeout age at which the load report of a peer is discarded
 * @param equalShareWait time in the queue after which a task may use a slot of its entry VM's equal
 *     share even if the load reports of the peers leave none free
 * @param maxCancelledSlotTime maximum time for which the slot of a cancelled attempt stays
 *     occupied, because the upstream may still be running the task
 * @param declaredErrorFactor factor by which declared run times may be too long
 * @param admissionHeadroom fraction of the remaining time that admission keeps in reserve
 */
public record DispatchSettings(
    String failureDomain,
    int lookAhead,
    int releaseWindow,
    int maxRetriesPerTask,
    int maxUnsentAttempts,
    Duration unsentDelay,
    int budgetReserve,
    double hedgeShare,
    int ejectAfter,
    Duration firstEjection,
    Duration maxEjection,
    double overdueFactor,
    Duration overdueMinimum,
    Duration idleConnectionTime,
    Duration peerReportTimeout,
    Duration equalShareWait,
    Duration maxCancelledSlotTime,
    double declaredErrorFactor,
    double admissionHeadroom) {

  /**
   * @throws IllegalArgumentException if a count is not positive
   */
  public DispatchSettings {
    if (lookAhead < 1 || releaseWindow < 1 || ejectAfter < 1) {
      throw new IllegalArgumentException(
          "lookAhead, releaseWindow and ejectAfter must be positive: %d, %d, %d"
              .formatted(lookAhead, releaseWindow, ejectAfter));
    }
  }

  /** Returns the default settings. */
  public static DispatchSettings defaults() {
    return new DispatchSettings(
        "",
        16,
        32,
        2,
        8,
        Duration.ofMillis(5),
        10,
        // A hedge costs two extra messages. Message weight 0.5 allows a quarter of this share,
        // which costs 0.015 extra messages per task.
        0.03,
        3,
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        3,
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(3),
        Duration.ofMillis(100),
        Duration.ofSeconds(1),
        10,
        0.1);
  }

  /** Returns a copy of these settings that uses only the upstreams of one failure domain. */
  public DispatchSettings withFailureDomain(String domain) {
    return new DispatchSettings(
        domain,
        lookAhead,
        releaseWindow,
        maxRetriesPerTask,
        maxUnsentAttempts,
        unsentDelay,
        budgetReserve,
        hedgeShare,
        ejectAfter,
        firstEjection,
        maxEjection,
        overdueFactor,
        overdueMinimum,
        idleConnectionTime,
        peerReportTimeout,
        equalShareWait,
        maxCancelledSlotTime,
        declaredErrorFactor,
        admissionHeadroom);
  }
}
