package org.lovagerack.benchmarks.capacity;

import java.util.List;

/**
 * Least-squares fit of a line.
 *
 * @param slope slope of the line
 * @param intercept value of the line at 0
 * @param slopeError standard error of the slope; NaN for fewer than three points
 */
record LinearFit(double slope, double intercept, double slopeError) {

  /** A measured value y at size x. */
  record Point(double x, double y) {}

  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if the points do not have two different x values
   */
  static LinearFit of(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double squares = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.x() - meanX)).sum();
    if (!(squares > 0)) {
      throw new IllegalArgumentException("a line fit needs two different x values, got " + points);
    }
    double slope =
        points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum() / squares;
    double intercept = meanY - slope * meanX;
    double residuals =
        points.stream().mapToDouble(p -> square(p.y() - intercept - slope * p.x())).sum();
    double error =
        points.size() < 3 ? Double.NaN : Math.sqrt(residuals / (points.size() - 2) / squares);
    return new LinearFit(slope, intercept, error);
  }

  private static double square(double value) {
    return value * value;
  }
}
