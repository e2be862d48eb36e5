package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An aim of the design page that the own policy misses in a row.
 *
 * @param row user, scenario and kind
 * @param policy the policy
 * @param aim which aim
 * @param measured what was measured
 * @param limit what the aim asks for
 */
record Miss(String row, String policy, String aim, double measured, double limit) {

  private static final double P99_LIMIT = 2;
  private static final double WASTED_LIMIT = 0.02;
  private static final double GOODPUT_LIMIT = 0.95;

  static List<Miss> find(List<ReportRow> rows) {
    List<Miss> misses = new ArrayList<>();
    for (ReportRow row : rows) {
      if (!row.baseline()) {
        findFor(row, rows, misses);
      }
    }
    return misses;
  }

  private static void findFor(ReportRow row, List<ReportRow> rows, List<Miss> misses) {
    if (row.load() == Scenario.FAULT_LOAD) {
      add(misses, row, "p99 at 70 %", row.p99(), P99_LIMIT);
    }
    if (row.faultless()) {
      add(misses, row, "wasted messages per task", row.wastedPerTask(), WASTED_LIMIT);
    }
    if (row.overload() && row.goodput() < GOODPUT_LIMIT) {
      misses.add(miss(row, "goodput at overload", row.goodput(), GOODPUT_LIMIT));
    }
    if (!row.overload()) {
      bestP99(row, rows)
          .ifPresent(best -> add(misses, row, "p99 of " + best.policy(), row.p99(), best.p99()));
    }
    mostOnTime(row, rows)
        .ifPresent(
            best ->
                add(
                    misses,
                    row,
                    "share not on time of " + best.policy(),
                    row.notAnsweredOnTime(),
                    best.notAnsweredOnTime()));
    add(misses, row, "non-repeatable task started twice", row.repeatedStarts(), 0);
    add(misses, row, "started although said not run", row.startsSaidNotRun(), 0);
    add(misses, row, "started on a leaving upstream", row.startsWhileLeaving(), 0);
  }

  private static Optional<ReportRow> bestP99(ReportRow row, List<ReportRow> rows) {
    return rows.stream()
        .filter(other -> other.baseline() && row.sameArrivals(other))
        .min(java.util.Comparator.comparingDouble(ReportRow::p99));
  }

  private static Optional<ReportRow> mostOnTime(ReportRow row, List<ReportRow> rows) {
    return rows.stream()
        .filter(other -> other.baseline() && row.sameArrivals(other))
        .min(java.util.Comparator.comparingDouble(ReportRow::notAnsweredOnTime));
  }

  private static void add(
      List<Miss> misses, ReportRow row, String aim, double measured, double limit) {
    if (measured > limit) {
      misses.add(miss(row, aim, measured, limit));
    }
  }

  private static Miss miss(ReportRow row, String aim, double measured, double limit) {
    return new Miss(row.arrivals(), row.policy(), aim, measured, limit);
  }
}
