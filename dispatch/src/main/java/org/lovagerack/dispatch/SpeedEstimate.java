package org.lovagerack.dispatch;

/**
 * Estimate of the time that an upstream takes for one unit of work: an exponentially weighted mean
 * of logarithms, which prevents a single outlier from dominating.
 */
final class SpeedEstimate {

  // Adapts to a change of speed within about twenty answers.
  private static final double MIN_WEIGHT = 0.08;
  // A larger residual is more likely due to a wrong run time estimate than to the upstream.
  private static final double MAX_RESIDUAL = 1.6;

  // Logarithmic; an unobserved upstream ranks as if it were twice as fast as expected. Otherwise
  // the first upstreams that are fast enough would always be used, and faster ones never found.
  private static final double EXPLORATION_BONUS = 0.7;

  private double logTimePerUnit;
  private double timePerUnit;
  private int observations;

  SpeedEstimate(double priorLogTimePerUnit) {
    set(priorLogTimePerUnit);
  }

  /**
   * Updates the estimate with the run time of an answered attempt.
   *
   * @param logRunTime logarithm of the run time in nanoseconds
   * @param logWork logarithm of the expected run time at unit speed in nanoseconds
   */
  void observe(double logRunTime, double logWork) {
    double residual = logRunTime - logWork - logTimePerUnit;
    double weight = Math.max(MIN_WEIGHT, 1.0 / (observations + 2));
    observations++;
    set(logTimePerUnit + weight * Math.clamp(residual, -MAX_RESIDUAL, MAX_RESIDUAL));
  }

  /** Updates the estimate with a lower bound of a run time; never makes the upstream faster. */
  void observeAtLeast(double logElapsed, double logWork) {
    if (logElapsed - logWork > logTimePerUnit) {
      observe(logElapsed, logWork);
    }
  }

  /**
   * Moves the estimate of an unused upstream towards the mean of its pool. Otherwise an upstream
   * that was once slow might never be used again.
   */
  void moveTowards(double targetLogTimePerUnit, double share) {
    set(logTimePerUnit + share * (targetLogTimePerUnit - logTimePerUnit));
    observations = Math.min(observations, 9);
  }

  double logTimePerUnit() {
    return logTimePerUnit;
  }

  /**
   * Returns the logarithmic estimate for ranking, which favours upstreams with few observations.
   */
  double optimisticLogTimePerUnit() {
    return logTimePerUnit - EXPLORATION_BONUS / (observations + 1);
  }

  double timePerUnit() {
    return timePerUnit;
  }

  private void set(double value) {
    logTimePerUnit = value;
    timePerUnit = Math.exp(value);
  }
}
