package org.lovagerack.burn;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;

/** Draws burn rates by window and service on a logarithmic scale, as inline SVG. */
final class BurnPlot {

  private static final int LABEL_WIDTH = 230;
  private static final int PLOT_WIDTH = 640;
  private static final int MARGIN = 30;
  private static final int HEADER_HEIGHT = 56;
  private static final int LEGEND_STEP = 90;
  private static final int MARK_STEP = 7;
  private static final int MARK_RADIUS = 4;
  private static final int ROW_HEIGHT = MARK_STEP * (BurnWindow.values().length + 1);
  private static final int MAX_LABEL_LENGTH = 32;
  private static final int BASELINE_OFFSET = 4;

  // Rates below 0.01, including 0, are drawn at the left edge, and rates over 1000 at the right.
  private static final int MIN_DECADE = -2;
  private static final int MAX_DECADE = 3;

  private BurnPlot() {}

  static void append(StringBuilder svg, List<BurnRow> rows) {
    int width = LABEL_WIDTH + PLOT_WIDTH + MARGIN;
    int height = HEADER_HEIGHT + rows.size() * ROW_HEIGHT + MARK_STEP;
    format(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" viewBox=\"0 0 %d %d\""
            + " role=\"img\" aria-label=\"Burn rate by window and service\">%n",
        width,
        height,
        width,
        height);
    appendLegend(svg);
    appendAxis(svg, height);
    int top = HEADER_HEIGHT;
    for (BurnRow row : rows) {
      appendRow(svg, row, top);
      top += ROW_HEIGHT;
    }
    svg.append("</svg>\n");
  }

  private static void appendLegend(StringBuilder svg) {
    int x = LABEL_WIDTH;
    for (BurnWindow window : BurnWindow.values()) {
      appendMark(svg, window, x, 2 * MARK_STEP, "past " + window.wireName());
      appendText(
          svg,
          x + 2 * MARK_STEP,
          2 * MARK_STEP + BASELINE_OFFSET,
          "start",
          "past " + window.wireName());
      x += LEGEND_STEP;
    }
  }

  private static void appendAxis(StringBuilder svg, int height) {
    for (int decade = MIN_DECADE; decade <= MAX_DECADE; decade++) {
      double x = position(Math.pow(10, decade));
      boolean unitRate = decade == 0;
      format(
          svg,
          "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"%s\" stroke-width=\"%d\"/>%n",
          x,
          HEADER_HEIGHT,
          x,
          height,
          unitRate ? "#b3261e" : "#dde2e8",
          unitRate ? 2 : 1);
      appendText(
          svg,
          x,
          HEADER_HEIGHT - MARK_STEP,
          "middle",
          BigDecimal.ONE.scaleByPowerOfTen(decade).toPlainString());
    }
  }

  private static void appendRow(StringBuilder svg, BurnRow row, int top) {
    int y = top + MARK_STEP;
    appendText(
        svg,
        LABEL_WIDTH - 2 * MARK_STEP,
        top + ROW_HEIGHT / 2 + BASELINE_OFFSET,
        "end",
        row.name().length() > MAX_LABEL_LENGTH
            ? row.name().substring(0, MAX_LABEL_LENGTH - 1) + "\u2026"
            : row.name());
    for (BurnWindow window : BurnWindow.values()) {
      double rate = row.burn().burnRate(window);
      appendMark(
          svg,
          window,
          position(rate),
          y,
          "%s, past %s: %s".formatted(row.name(), window.wireName(), BurnRow.rate(rate)));
      y += MARK_STEP;
    }
    format(
        svg,
        "<line x1=\"0\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#eef1f4\"/>%n",
        top + ROW_HEIGHT,
        LABEL_WIDTH + PLOT_WIDTH,
        top + ROW_HEIGHT);
  }

  private static double position(double rate) {
    double decade = Math.clamp(Math.log10(rate), MIN_DECADE, MAX_DECADE);
    return LABEL_WIDTH + PLOT_WIDTH * (decade - MIN_DECADE) / (MAX_DECADE - MIN_DECADE);
  }

  /** Returns the colour of the mark of a window; shorter windows are darker. */
  private static String color(BurnWindow window) {
    return switch (window) {
      case FIVE_MINUTES -> "#08306b";
      case THIRTY_MINUTES -> "#2171b5";
      case ONE_HOUR -> "#6baed6";
      case SIX_HOURS -> "#b9d3ea";
    };
  }

  private static void appendMark(
      StringBuilder svg, BurnWindow window, double x, int y, String title) {
    format(
        svg,
        "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\" stroke=\"#08306b\"><title>%s</title>"
            + "</circle>%n",
        x,
        y,
        MARK_RADIUS,
        color(window),
        BurnHtml.escape(title));
  }

  private static void appendText(StringBuilder svg, double x, int y, String anchor, String text) {
    format(
        svg,
        "<text x=\"%.1f\" y=\"%d\" text-anchor=\"%s\">%s</text>%n",
        x,
        y,
        anchor,
        BurnHtml.escape(text));
  }

  private static void format(StringBuilder svg, String template, Object... values) {
    svg.append(String.format(Locale.ROOT, template, values));
  }
}
