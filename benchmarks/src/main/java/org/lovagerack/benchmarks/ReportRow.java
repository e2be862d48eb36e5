package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;

/** Figures of one user, scenario, request kind and policy. */
record ReportRow(
    String user,
    String scenario,
    String kind,
    String policy,
    boolean baseline,
    boolean overload,
    boolean faultless,
    double load,
    double messageWeight,
    int jobs,
    double p50,
    double p99,
    double p999,
    double p99WithoutStragglers,
    double smallestRatio,
    double late,
    double failed,
    double refused,
    double goodput,
    double wastedPerTask,
    double controlPerTask,
    int impossible,
    int impossibleAccepted,
    int repeatedStarts,
    int startsSaidNotRun,
    int startsWhileLeaving,
    List<String> traces) {

  static List<ReportRow> of(List<Cell> cells) {
    List<ReportRow> rows = new ArrayList<>();
    for (Cell cell : cells) {
      cell.result().kinds().forEach((kind, totals) -> rows.add(of(cell, kind, totals)));
    }
    return rows;
  }

  /** Adds the rows of other policies on arrivals that are among the given rows. */
  static List<ReportRow> merge(List<ReportRow> rows, List<ReportRow> others) {
    List<ReportRow> merged = new ArrayList<>(rows);
    for (ReportRow other : others) {
      if (rows.stream().anyMatch(other::sameArrivals)) {
        merged.add(other);
      }
    }
    return merged;
  }

  /** Returns these figures as those of a baseline of another name. */
  ReportRow asBaseline(String name) {
    return new ReportRow(
        user,
        scenario,
        kind,
        name,
        true,
        overload,
        faultless,
        load,
        messageWeight,
        jobs,
        p50,
        p99,
        p999,
        p99WithoutStragglers,
        smallestRatio,
        late,
        failed,
        refused,
        goodput,
        wastedPerTask,
        controlPerTask,
        impossible,
        impossibleAccepted,
        repeatedStarts,
        startsSaidNotRun,
        startsWhileLeaving,
        List.of());
  }

  /** Returns whether both are figures of the same arrivals. */
  boolean sameArrivals(ReportRow other) {
    return user.equals(other.user) && scenario.equals(other.scenario) && kind.equals(other.kind);
  }

  String arrivals() {
    return user + " " + scenario + " " + kind;
  }

  double notAnsweredOnTime() {
    return late + failed + refused;
  }

  private static ReportRow of(Cell cell, String kind, KindTotals totals) {
    Scenario scenario = cell.scenario();
    RunResult result = cell.result();
    return new ReportRow(
        cell.workload().user(),
        scenario.name(),
        kind,
        cell.policy().name(),
        cell.policy().baseline(),
        scenario.overload(),
        scenario.faults().isEmpty(),
        scenario.load(),
        cell.messageWeight(),
        totals.jobs,
        totals.quantile(50),
        totals.quantile(99),
        totals.quantile(99.9),
        totals.quantileWithoutStragglers(99),
        totals.smallestRatio(),
        totals.share(totals.late),
        totals.share(totals.failed),
        totals.share(totals.refused),
        result.goodput(),
        totals.wastedPerTask(),
        result.controlMessages(),
        totals.impossible,
        totals.impossibleAccepted,
        totals.repeatedStarts,
        totals.startsSaidNotRun,
        result.startsWhileLeaving(),
        cell.traces().stream().filter(trace -> trace.startsWith(kind + " ")).toList());
  }
}
