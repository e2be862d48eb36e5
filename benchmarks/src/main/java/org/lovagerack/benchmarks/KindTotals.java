package org.lovagerack.benchmarks;

import org.HdrHistogram.Histogram;

/** Counters and response times of one request kind in one run. */
final class KindTotals {

  private static final int SIGNIFICANT_DIGITS = 3;

  /** Ratios are recorded in thousandths. */
  private static final double RATIO_SCALE = 1_000;

  private final Histogram ratios = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram ratiosWithoutStragglers = new Histogram(SIGNIFICANT_DIGITS);
  private double minRatio = Double.MAX_VALUE;
  int jobs;
  int late;
  int failed;
  int refused;
  int impossible;
  int impossibleAccepted;
  int tasks;
  int wastedMessages;
  int repeatedStarts;
  int startsReportedNotRun;

  /**
   * Records the response time of a job. Callers pass at least the deadline for a failed job,
   * because early failures would otherwise lower the quantiles.
   */
  void recordResponse(long responseNanos, PlannedJob job, Workload workload) {
    double ratio = responseNanos / job.idealNanos(workload);
    minRatio = Math.min(minRatio, ratio);
    ratios.recordValue(Math.round(ratio * RATIO_SCALE));
    ratiosWithoutStragglers.recordValue(
        Math.round(responseNanos / job.idealWithoutStragglersNanos(workload) * RATIO_SCALE));
  }

  double quantile(double percentile) {
    return ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
  }

  double quantileWithoutStragglers(double percentile) {
    return ratiosWithoutStragglers.getValueAtPercentile(percentile) / RATIO_SCALE;
  }

  double minRatio() {
    return minRatio;
  }

  double share(int count) {
    return jobs == 0 ? 0 : (double) count / jobs;
  }

  double wastedPerTask() {
    return tasks == 0 ? 0 : (double) wastedMessages / tasks;
  }
}
