package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;

/** Results for one user, scenario, request kind and policy. */
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

  static List<ReportRow> fromRuns(List<PolicyRun> runs) {
    List<ReportRow> rows = new ArrayList<>();
    for (PolicyRun run : runs) {
      run.result().kinds().forEach((kind, totals) -> rows.add(fromRun(run, kind, totals)));
    }
    return rows;
  }

  /** Adds rows of other policies whose arrivals also occur in the given rows. */
  static List<ReportRow> merge(List<ReportRow> rows, List<ReportRow> others) {
    List<ReportRow> merged = new ArrayList<>(rows);
    for (ReportRow other : others) {
      if (rows.stream().anyMatch(other::sameArrivals)) {
        merged.add(other);
      }
    }
    return merged;
  }

  /** Returns a copy of this row as a baseline with another name. */
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

  /** Returns whether both rows have the same arrivals. */
  boolean sameArrivals(ReportRow other) {
    return user.equals(other.user) && scenario.equals(other.scenario) && kind.equals(other.kind);
  }

  String arrivals() {
    return user + " " + scenario + " " + kind;
  }

  double notAnsweredOnTime() {
    return late + failed + refused;
  }

  private static ReportRow fromRun(PolicyRun run, String kind, KindTotals totals) {
    Scenario scenario = run.scenario();
    RunResult result = run.result();
    return new ReportRow(
        run.workload().user(),
        scenario.name(),
        kind,
        run.policy().name(),
        run.policy().baseline(),
        scenario.overload(),
        scenario.faults().isEmpty(),
        scenario.load(),
        run.messageWeight(),
        totals.jobs,
        totals.quantile(50),
        totals.quantile(99),
        totals.quantile(99.9),
        totals.quantileWithoutStragglers(99),
        totals.minRatio(),
        totals.share(totals.late),
        totals.share(totals.failed),
        totals.share(totals.refused),
        result.goodput(),
        totals.wastedPerTask(),
        result.controlMessages(),
        totals.impossible,
        totals.impossibleAccepted,
        totals.repeatedStarts,
        totals.startsReportedNotRun,
        result.startsWhileLeaving(),
        run.traces().stream().filter(trace -> trace.startsWith(kind + " ")).toList());
  }
}
