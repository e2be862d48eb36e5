package org.lovagerack.dispatch;

/**
 * Estimate of the time that an upstream takes for one unit of work, as an exponentially weighted
 * mean of logarithms. Logarithms keep a single outlier from dominating the estimate.
 */
final class SpeedEstimate {

  // Follows a change of speed within about twenty answers.
  private static final double LEAST_WEIGHT = 0.08;
  // A change of a single observation beyond this is more likely a wrong run time than the upstream.
  private static final double LARGEST_RESIDUAL = 1.6;

  // An unobserved upstream ranks as if it were twice as fast as expected. Otherwise the first
  // upstreams that are fast enough would be used for ever, and faster ones never found.
  private static final double OPTIMISM = 0.7;

  private double logTimePerUnit;
  private double timePerUnit;
  private int observations;

  SpeedEstimate(double priorLogTimePerUnit) {
    set(priorLogTimePerUnit);
  }

  /** Learns from an answer whose task was expected to take {@code logWork} at unit speed. */
  void observe(double logRunTime, double logWork) {
    double residual = logRunTime - logWork - logTimePerUnit;
    double weight = Math.max(LEAST_WEIGHT, 1.0 / (observations + 2));
    observations++;
    set(logTimePerUnit + weight * Math.clamp(residual, -LARGEST_RESIDUAL, LARGEST_RESIDUAL));
  }

  /** Learns from an attempt that has run for some time without an answer; never improves. */
  void observeAtLeast(double logElapsed, double logWork) {
    if (logElapsed - logWork > logTimePerUnit) {
      observe(logElapsed, logWork);
    }
  }

  /**
   * Moves the estimate of an unused upstream towards that of the others. Otherwise an upstream that
   * was once slow might never be tried again.
   */
  void relax(double targetLogTimePerUnit, double share) {
    set(logTimePerUnit + share * (targetLogTimePerUnit - logTimePerUnit));
    observations = Math.min(observations, 9);
  }

  double logTimePerUnit() {
    return logTimePerUnit;
  }

  /** Returns the logarithm by which to rank, which favours upstreams with few observations. */
  double optimisticLogTimePerUnit() {
    return logTimePerUnit - OPTIMISM / (observations + 1);
  }

  double timePerUnit() {
    return timePerUnit;
  }

  private void set(double value) {
    logTimePerUnit = value;
    timePerUnit = Math.exp(value);
  }
}
