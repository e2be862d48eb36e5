package org.lovagerack.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Values of a quantity, measured at several values of one variable, such as the number of VMs. */
final class Measurement {

  private final String quantity;
  private final String unit;
  private final String varied;
  private final List<LinearFit.Point> points = new ArrayList<>();

  /**
   * @param quantity what is measured
   * @param unit unit of the quantity
   * @param varied name of the variable
   */
  Measurement(String quantity, String unit, String varied) {
    this.quantity = quantity;
    this.unit = unit;
    this.varied = varied;
  }

  /**
   * Adds a measured value.
   *
   * @param x value of the variable
   * @param y value of the quantity
   */
  void add(double x, double y) {
    points.add(new LinearFit.Point(x, y));
  }

  void add(double x, long y) {
    add(x, (double) y);
  }

  List<LinearFit.Point> points() {
    return List.copyOf(points);
  }

  /** Returns a Markdown table row with the measured values and the line fitted to them. */
  String row() {
    LinearFit fit = LinearFit.of(points);
    String values =
        points.stream()
            .map(point -> number(point.x()) + ": " + number(point.y()))
            .collect(Collectors.joining(", "));
    return "| %s (%s) | %s | %s | %s ± %s | %s |"
        .formatted(
            quantity,
            unit,
            varied,
            values,
            number(fit.slope()),
            number(fit.slopeError()),
            number(fit.intercept()));
  }

  static String header() {
    return """
        | quantity (unit) | against | points | slope ± error | at 0 |
        |---|---|---|---|---|""";
  }

  private static String number(double value) {
    boolean whole = value == Math.rint(value) && Math.abs(value) < 1e9;
    return whole
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.4g", value);
  }
}
