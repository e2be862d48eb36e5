package org.lovagerack.dispatch;

import java.time.Duration;

/**
 * Tunables of the dispatcher.
 *
 * @param failureDomain failure domain whose upstreams are used; empty for all
 * @param lookAhead number of queued tasks of a service that one routing pass considers
 * @param releaseWindow number of expected slot releases that one routing pass considers
 * @param maxRetriesPerTask retries of one task, hedges not included
 * @param maxUnsentAttempts attempts of one task that may end unsent before the task fails
 * @param unsentDelay wait before the second attempt after an unsent one; doubles with each further
 *     one
 * @param budgetReserve retries that a service may do before it has earned any by starts
 * @param hedgeShare share of starts that may be hedges at message weight 0
 * @param ejectAfter consecutive failures that eject an upstream
 * @param firstEjection duration of the first ejection; doubles with each further one
 * @param longestEjection limit of the doubling
 * @param overdueFactor multiple of the expected run time after which an attempt is overdue
 * @param overdueMinimum shortest time after which an attempt is overdue
 * @param idleConnectionTime time without use after which connections to an upstream are closed
 * @param peerReportTimeout age at which the load report of a peer is dropped
 * @param guaranteeWait time a task waits until its entry VM uses the equal share of slots that
 *     reports of the peers claim
 * @param cancelledSlotHold longest time for which the slot of a cancelled attempt counts as used,
 *     because the upstream may still run the task
 * @param declaredErrorFactor factor by which declared run times may be wrong
 * @param admissionHeadroom share of the time left that admission keeps in reserve
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
    Duration longestEjection,
    double overdueFactor,
    Duration overdueMinimum,
    Duration idleConnectionTime,
    Duration peerReportTimeout,
    Duration guaranteeWait,
    Duration cancelledSlotHold,
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
        // A hedge wastes two messages. At message weight 0.5, a quarter of this share is allowed,
        // which wastes 0.015 messages a task.
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

  /** Returns these settings for the upstreams of one failure domain. */
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
        longestEjection,
        overdueFactor,
        overdueMinimum,
        idleConnectionTime,
        peerReportTimeout,
        guaranteeWait,
        cancelledSlotHold,
        declaredErrorFactor,
        admissionHeadroom);
  }
}
