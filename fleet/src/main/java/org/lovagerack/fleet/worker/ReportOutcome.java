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
   * @param outcome what is known about the lease extension in the request
   */
  record Missing(RequestOutcome outcome) implements ReportOutcome {}
}
