package org.lovagerack.benchmarks;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints the benchmark results as text tables. */
final class TextReport {

  private static final String ROW_FORMAT = "%-16s %6s %7s %7s %8s %7s %7s %7s %7s %7s %7s %7s  %s";

  private final PrintStream out;

  private TextReport(PrintStream out) {
    this.out = out;
  }

  static void print(
      BenchmarkOptions options,
      List<ReportRow> rows,
      List<ReportRow> sweep,
      List<MissedTarget> misses,
      PrintStream out) {
    TextReport report = new TextReport(out);
    report.printLine(
        "seed %d, %d s of simulated time", options.seed(), options.horizon().toSeconds());
    report.printRows(rows);
    report.printSweep(sweep);
    report.printMisses(misses);
  }

  private void printRows(List<ReportRow> rows) {
    rows.stream()
        .map(ReportRow::arrivals)
        .distinct()
        .forEach(
            arrivals -> {
              printLine("%n%s", arrivals);
              printLine(
                  ROW_FORMAT,
                  "policy",
                  "jobs",
                  "p50",
                  "p99",
                  "p99.9",
                  "p99*",
                  "late",
                  "failed",
                  "refused",
                  "goodput",
                  "wasted",
                  "control",
                  "violations");
              rows.stream().filter(row -> row.arrivals().equals(arrivals)).forEach(this::printRow);
            });
    printLine("%np50, p99, p99.9: response time divided by the ideal; p99*: the same without");
    printLine(
        "stragglers; late, failed, refused: shares of jobs; goodput: share of capacity, all kinds;");
    printLine(
        "wasted, control: messages per task; violations: non-repeatable tasks started twice,");
    printLine("tasks started although reported as not run, starts on a leaving upstream.");
  }

  private void printRow(ReportRow row) {
    printLine(
        ROW_FORMAT,
        row.policy(),
        row.jobs(),
        decimals(row.p50(), 2),
        decimals(row.p99(), 2),
        decimals(row.p999(), 2),
        decimals(row.p99WithoutStragglers(), 2),
        decimals(row.late(), 4),
        decimals(row.failed(), 4),
        decimals(row.refused(), 4),
        decimals(row.goodput(), 3),
        decimals(row.wastedPerTask(), 4),
        decimals(row.controlPerTask(), 3),
        violations(row));
    row.traces().forEach(trace -> printLine("  %s", trace));
  }

  private static String violations(ReportRow row) {
    String text =
        "%d %d %d"
            .formatted(row.repeatedStarts(), row.startsSaidNotRun(), row.startsWhileLeaving());
    return row.impossible() == 0
        ? text
        : text
            + ", impossible jobs accepted: %d of %d"
                .formatted(row.impossibleAccepted(), row.impossible());
  }

  private void printSweep(List<ReportRow> sweep) {
    if (sweep.isEmpty()) {
      return;
    }
    printLine("%nTrade-off between response time and messages at 70 %% load");
    printLine(
        "%-10s %-17s %-16s %6s %7s %7s %8s %7s",
        "user", "kind", "policy", "weight", "p50", "p99", "p99.9", "wasted");
    for (ReportRow row : sweep) {
      printLine(
          "%-10s %-17s %-16s %6s %7s %7s %8s %7s",
          row.user(),
          row.kind(),
          row.policy(),
          decimals(row.messageWeight(), 2),
          decimals(row.p50(), 2),
          decimals(row.p99(), 2),
          decimals(row.p999(), 2),
          decimals(row.wastedPerTask(), 4));
    }
  }

  private void printMisses(List<MissedTarget> misses) {
    printLine("%nMissed targets: %d", misses.size());
    for (MissedTarget miss : misses) {
      printLine(
          "%-58s %-16s %-40s measured %s, target %s, off by %s",
          miss.row(),
          miss.policy(),
          miss.aim(),
          decimals(miss.measured(), 4),
          decimals(miss.limit(), 4),
          decimals(Math.abs(miss.measured() - miss.limit()), 4));
    }
  }

  private void printLine(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }

  private static String decimals(double value, int count) {
    return String.format(Locale.ROOT, "%." + count + "f", value);
  }
}
