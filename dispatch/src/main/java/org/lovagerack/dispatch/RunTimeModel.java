package org.lovagerack.dispatch;

import java.time.Duration;

/**
 * Learned run time of one request kind at unit speed. Declared run times may be wrong by a factor
 * of ten, so the model learns how far they agree with the run times: it fits the logarithm of the
 * run time to the logarithm of the declared one. Where they do not agree, the slope tends to 0 and
 * the typical run time of the kind is used.
 */
final class RunTimeModel {

  private static final double LEAST_WEIGHT = 0.01;
  private static final int LEARNED_OBSERVATIONS = 5;
  // Keeps the slope near 0 while declared run times hardly differ.
  private static final double SLOPE_DAMPING = 0.02;
  private static final double LARGEST_VARIANCE = 2;
  // Beyond this age an estimate is not trusted to refuse jobs, because jobs that are refused
  // cannot correct it.
  private static final long TRUSTED_NANOS = Duration.ofSeconds(30).toNanos();

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
      double weight = Math.max(LEAST_WEIGHT, 1.0 / (observations + 1));
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

  /** Returns whether enough answers were seen to rely on the model instead of declarations. */
  boolean learned() {
    return observations >= LEARNED_OBSERVATIONS;
  }

  /** Returns whether the model is good enough to refuse a job. */
  boolean trusted(long nowNanos) {
    return learned() && nowNanos - lastObservedNanos <= TRUSTED_NANOS;
  }

  /** Returns the logarithm of the expected nanoseconds at unit speed. */
  double logWork(Duration declared) {
    if (observations == 0) {
      return log(declared);
    }
    return meanLogWork + slope() * (log(declared) - meanLogDeclared);
  }

  /** Returns the mean nanoseconds at unit speed. */
  double meanWork(Duration declared) {
    return Math.exp(logWork(declared) + meanCorrection());
  }

  /** Returns the mean nanoseconds of any task of the kind. */
  double typicalWork() {
    return Math.exp(meanLogWork + (slope() * slope() * varianceDeclared) / 2 + meanCorrection());
  }

  private double meanCorrection() {
    return Math.min(residualVariance, LARGEST_VARIANCE) / 2;
  }

  private double slope() {
    if (observations < 2 * LEARNED_OBSERVATIONS) {
      return 0;
    }
    return Math.clamp(covariance / (varianceDeclared + SLOPE_DAMPING), 0, 1);
  }

  private static double log(Duration duration) {
    return Math.log(Math.max(1, (double) duration.toNanos()));
  }
}
