package org.lovagerack.dispatch;

import java.time.Duration;

/**
 * Estimated run time of one request kind at unit speed. Declared run times may be wrong by a factor
 * of ten, so the model estimates how well they predict the actual ones by a linear regression of
 * the logarithm of the run time on the logarithm of the declared one. If they are not correlated,
 * the slope tends to 0 and the mean of the kind is used.
 */
final class RunTimeModel {

  private static final double MIN_WEIGHT = 0.01;
  private static final int MIN_OBSERVATIONS = 5;
  // Keeps the slope near 0 while the declared run times are almost equal.
  private static final double SLOPE_REGULARIZATION = 0.02;
  private static final double MAX_VARIANCE = 2;
  // An older estimate is not used to refuse jobs, because refused jobs yield no observations that
  // could correct it.
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

  private int observations;
  private long lastObservedNanos;
  private double meanLogDeclared;
  private double meanLogWork;
  private double varianceDeclared;
  private double covariance;
  private double residualVariance;

  void observe(Duration declared, double logWork, long nowNanos) {
    double logDeclared = log(declared);
    if (observations == 0) {
      meanLogDeclared = logDeclared;
      meanLogWork = logWork;
    } else {
      double weight = Math.max(MIN_WEIGHT, 1.0 / (observations + 1));
      double residual = logWork - logWork(declared);
      double fromDeclared = logDeclared - meanLogDeclared;
      double fromWork = logWork - meanLogWork;
      meanLogDeclared += weight * fromDeclared;
      meanLogWork += weight * fromWork;
      varianceDeclared = (1 - weight) * (varianceDeclared + weight * fromDeclared * fromDeclared);
      covariance = (1 - weight) * (covariance + weight * fromDeclared * fromWork);
      residualVariance += weight * (residual * residual - residualVariance);
    }
    observations++;
    lastObservedNanos = nowNanos;
  }

  /** Returns whether there are enough observations to use the model. */
  boolean hasEnoughObservations() {
    return observations >= MIN_OBSERVATIONS;
  }

  /** Returns whether the model is recent enough to refuse a job. */
  boolean isRecent(long nowNanos) {
    return hasEnoughObservations() && nowNanos - lastObservedNanos <= MAX_AGE_NANOS;
  }

  /** Returns the mean logarithm of the run time in nanoseconds at unit speed. */
  double logWork(Duration declared) {
    if (observations == 0) {
      return log(declared);
    }
    return meanLogWork + slope() * (log(declared) - meanLogDeclared);
  }

  /** Returns the mean run time in nanoseconds at unit speed. */
  double meanWork(Duration declared) {
    return Math.exp(logWork(declared) + meanCorrection());
  }

  /** Returns the mean run time over all tasks of the kind, in nanoseconds at unit speed. */
  double typicalWork() {
    return Math.exp(meanLogWork + (slope() * slope() * varianceDeclared) / 2 + meanCorrection());
  }

  // The mean of a log-normal distribution exceeds the exponential of its logarithmic mean.
  private double meanCorrection() {
    return Math.min(residualVariance, MAX_VARIANCE) / 2;
  }

  private double slope() {
    if (observations < 2 * MIN_OBSERVATIONS) {
      return 0;
    }
    return Math.clamp(covariance / (varianceDeclared + SLOPE_REGULARIZATION), 0, 1);
  }

  private static double log(Duration duration) {
    return Math.log(Math.max(1, (double) duration.toNanos()));
  }
}
