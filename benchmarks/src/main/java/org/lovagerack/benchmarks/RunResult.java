package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Results of one run.
 *
 * @param kinds totals by request kind
 * @param goodput work of jobs answered on time, as a share of the capacity
 * @param controlMessages messages between entry VMs per task
 * @param startsWhileLeaving starts on a leaving upstream after the grace period
 */
record RunResult(
    Map<String, KindTotals> kinds, double goodput, double controlMessages, int startsWhileLeaving) {

  static RunResult of(
      Workload workload,
      Duration horizon,
      List<JobRun> jobs,
      long controlMessages,
      int startsWhileLeaving) {
    Map<String, KindTotals> totals = new LinkedHashMap<>();
    workload.kinds().forEach(kind -> totals.put(kind.name(), new KindTotals()));
    long start = Simulation.WARM_UP.toNanos();
    double onTimeWork = 0;
    long tasks = 0;
    for (JobRun run : jobs) {
      tasks += run.refused() ? 0 : run.records().size();
      boolean inWindow = run.finishedNanos() >= start && run.finishedNanos() < horizon.toNanos();
      if (inWindow && run.answeredOnTime()) {
        onTimeWork += run.job().firstAttemptWork();
      }
      KindTotals kind = totals.get(run.job().kind().name());
      countViolations(run, kind);
      if (run.job().sentNanos() >= start) {
        countJob(run, kind, workload);
      }
    }
    double availableWork = workload.capacity() * (horizon.toNanos() - start);
    return new RunResult(
        totals,
        onTimeWork / availableWork,
        tasks == 0 ? 0 : (double) controlMessages / tasks,
        startsWhileLeaving);
  }

  private static void countViolations(JobRun run, KindTotals kind) {
    for (TaskRecord record : run.records()) {
      kind.repeatedStarts += record.startedAgainAlthoughNotRepeatable() ? 1 : 0;
      kind.startsReportedNotRun += record.startedAlthoughReportedNotRun() ? 1 : 0;
    }
  }

  private static void countJob(JobRun run, KindTotals kind, Workload workload) {
    if (!run.refused()) {
      kind.tasks += run.records().size();
      kind.wastedMessages += run.records().stream().mapToInt(TaskRecord::wastedMessages).sum();
    }
    if (run.job().impossible()) {
      kind.impossible++;
      kind.impossibleAccepted += run.refused() ? 0 : 1;
      return;
    }
    if (run.cancelled()) {
      return;
    }
    kind.jobs++;
    if (run.refused()) {
      kind.refused++;
    } else if (run.finished() && run.failure().isEmpty()) {
      kind.late += run.answeredOnTime() ? 0 : 1;
      kind.recordResponse(run.responseNanos(), run.job(), workload);
    } else {
      kind.late += run.deadlinePassed() ? 1 : 0;
      kind.failed += run.deadlinePassed() ? 0 : 1;
      long response = run.finished() ? run.responseNanos() : 0;
      kind.recordResponse(Math.max(response, run.job().deadlineNanos()), run.job(), workload);
    }
  }
}
