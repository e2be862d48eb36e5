package org.lovagerack.dispatch;

/**
 * Running estimate of a quantile of the ratio of run time to expected run time. It applies
 * stochastic approximation to the logarithm of the ratio, which needs constant memory and adapts to
 * changes.
 */
final class RunTimeRatioQuantile {

  /** Upper bound on the change of the logarithm by one observation. */
  private static final double STEP_SIZE = 0.2;

  private double logRatio = Math.log(3);

  /**
   * Moves the estimate towards an observed ratio.
   *
   * @param observedLogRatio natural logarithm of the observed ratio
   * @param quantile the estimated quantile, between 0 and 1
   */
  void observe(double observedLogRatio, double quantile) {
    logRatio += observedLogRatio > logRatio ? STEP_SIZE * quantile : -STEP_SIZE * (1 - quantile);
  }

  /** Returns the estimated quantile of the ratio. */
  double value() {
    return Math.exp(logRatio);
  }
}
