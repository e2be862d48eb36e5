package org.lovagerack.dispatch;

/**
 * Running estimate of a quantile of the ratio of run time to expected run time. It uses stochastic
 * approximation on the logarithm, which needs constant memory and adapts to changes.
 */
final class RunTimeRatioQuantile {

  private static final double STEP = 0.2;

  private double logRatio = Math.log(3);

  void observe(double observedLogRatio, double quantile) {
    logRatio += observedLogRatio > logRatio ? STEP * quantile : -STEP * (1 - quantile);
  }

  double value() {
    return Math.exp(logRatio);
  }
}
