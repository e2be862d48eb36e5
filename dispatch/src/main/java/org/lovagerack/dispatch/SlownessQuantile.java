package org.lovagerack.dispatch;

/**
 * Running estimate of a quantile of the ratio between run time and expected run time, by stochastic
 * approximation on the logarithm. It needs constant memory and follows changes.
 */
final class SlownessQuantile {

  private static final double STEP = 0.2;

  private double logRatio = Math.log(3);

  void observe(double observedLogRatio, double quantile) {
    logRatio += observedLogRatio > logRatio ? STEP * quantile : -STEP * (1 - quantile);
  }

  double ratio() {
    return Math.exp(logRatio);
  }
}
