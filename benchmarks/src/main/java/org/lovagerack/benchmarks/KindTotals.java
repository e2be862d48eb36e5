package org.lovagerack.benchmarks;

import org.HdrHistogram.Histogram;

/** What was counted of one request kind in one run. */
final class KindTotals {

  private static final int PRECISION = 3;

  /** Ratios are recorded in thousandths. */
  private static final double SCALE = 1_000;

  private final Histogram toIdeal = new Histogram(PRECISION);
  private final Histogram toIdealWithoutStragglers = new Histogram(PRECISION);
  private double smallestRatio = Double.MAX_VALUE;
  int jobs;
  int late;
  int failed;
  int refused;
  int impossible;
  int impossibleAccepted;
  int tasks;
  int wastedMessages;
  int repeatedStarts;
  int startsSaidNotRun;

  /**
   * Counts the response time of a job. One that failed counts as if it had taken at least until its
   * deadline, so that failing early does not improve the figures.
   */
  void recordResponse(long responseNanos, PlannedJob job, Workload workload) {
    double ratio = responseNanos / job.idealNanos(workload);
    smallestRatio = Math.min(smallestRatio, ratio);
    toIdeal.recordValue(Math.round(ratio * SCALE));
    toIdealWithoutStragglers.recordValue(
        Math.round(responseNanos / job.idealWithoutStragglersNanos(workload) * SCALE));
  }

  double quantile(double percentile) {
    return toIdeal.getValueAtPercentile(percentile) / SCALE;
  }

  double quantileWithoutStragglers(double percentile) {
    return toIdealWithoutStragglers.getValueAtPercentile(percentile) / SCALE;
  }

  double smallestRatio() {
    return smallestRatio;
  }

  double share(int count) {
    return jobs == 0 ? 0 : (double) count / jobs;
  }

  double wastedPerTask() {
    return tasks == 0 ? 0 : (double) wastedMessages / tasks;
  }
}
