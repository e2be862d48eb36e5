package org.lovagerack.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** A quantity measured at several sizes. */
final class Measurement {

  private final String quantity;
  private final String unit;
  private final String size;
  private final List<LinearFit.Point> points = new ArrayList<>();

  /**
   * @param quantity what is measured
   * @param unit unit of the quantity
   * @param size name of the size that is varied
   */
  Measurement(String quantity, String unit, String size) {
    this.quantity = quantity;
    this.unit = unit;
    this.size = size;
  }

  void add(double x, double y) {
    points.add(new LinearFit.Point(x, y));
  }

  void add(double x, long y) {
    add(x, (double) y);
  }

  List<LinearFit.Point> points() {
    return List.copyOf(points);
  }

  /** Returns the measurement as a row of a Markdown table. */
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
            size,
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
