package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A target of the design page that the lovagerack policy misses in one report row.
 *
 * @param row user, scenario and kind
 * @param policy the policy
 * @param aim name of the target
 * @param measured measured value
 * @param limit required value
 */
record MissedTarget(String row, String policy, String aim, double measured, double limit) {

  private static final double P99_LIMIT = 2;
  private static final double WASTED_LIMIT = 0.02;
  private static final double GOODPUT_LIMIT = 0.95;

  static List<MissedTarget> find(List<ReportRow> rows) {
    List<MissedTarget> misses = new ArrayList<>();
    for (ReportRow row : rows) {
      if (!row.baseline()) {
        addMissed(row, rows, misses);
      }
    }
    return misses;
  }

  private static void addMissed(ReportRow row, List<ReportRow> rows, List<MissedTarget> misses) {
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
    bestOnTimeShare(row, rows)
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

  private static Optional<ReportRow> bestOnTimeShare(ReportRow row, List<ReportRow> rows) {
    return rows.stream()
        .filter(other -> other.baseline() && row.sameArrivals(other))
        .min(java.util.Comparator.comparingDouble(ReportRow::notAnsweredOnTime));
  }

  private static void add(
      List<MissedTarget> misses, ReportRow row, String aim, double measured, double limit) {
    if (measured > limit) {
      misses.add(miss(row, aim, measured, limit));
    }
  }

  private static MissedTarget miss(ReportRow row, String aim, double measured, double limit) {
    return new MissedTarget(row.arrivals(), row.policy(), aim, measured, limit);
  }
}
