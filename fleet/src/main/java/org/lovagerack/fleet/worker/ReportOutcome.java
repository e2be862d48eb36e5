package org.lovagerack.fleet.worker;

/** Result of a report request to a worker. */
public sealed interface ReportOutcome {

  /**
   * The worker reported.
   *
   * @param report its report
   */
  record Reported(WorkerReport report) implements ReportOutcome {}

  /**
   * The worker did not report.
   *
   * @param order what is known about the lease extension in the request
   */
  record Missing(OrderOutcome order) implements ReportOutcome {}
}
