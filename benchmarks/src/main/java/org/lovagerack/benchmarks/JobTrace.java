package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** Describes the jobs around the 99th percentile with the starts of their tasks. */
final class JobTrace {

  /** Number of tasks to print for each job, those that ended last. */
  private static final int MAX_PRINTED_TASKS = 6;

  private JobTrace() {}

  static List<String> aroundP99(Workload workload, List<JobRun> jobs, int count) {
    List<String> traces = new ArrayList<>();
    for (KindProfile kind : workload.kinds()) {
      List<JobRun> slowestFirst =
          jobs.stream()
              .filter(run -> run.job().kind().equals(kind) && run.finished())
              .filter(run -> run.job().sentNanos() >= Simulation.WARM_UP.toNanos())
              .filter(run -> !run.refused() && !run.cancelled() && !run.job().impossible())
              .sorted(Comparator.comparingDouble(run -> -ratio(run, workload)))
              .toList();
      slowestFirst.stream()
          .skip(Math.max(0, slowestFirst.size() / 100 - count / 2))
          .limit(count)
          .forEach(run -> traces.add(describe(run, workload)));
    }
    return traces;
  }

  private static double ratio(JobRun run, Workload workload) {
    return run.responseNanos() / run.job().idealNanos(workload);
  }

  private static String describe(JobRun run, Workload workload) {
    PlannedJob job = run.job();
    String head =
        "%s vm %d sent %.1f ms, %d tasks, ideal %.1f ms, took %.1f ms, ratio %.2f%s"
            .formatted(
                job.kind().name(),
                job.entryVm(),
                job.sentNanos() / 1e6,
                run.records().size(),
                job.idealNanos(workload) / 1e6,
                run.responseNanos() / 1e6,
                ratio(run, workload),
                run.failure().map(failure -> ", failed: " + failure.kind()).orElse(""));
    return run.records().stream()
        .sorted(Comparator.comparingLong(record -> -lastEndNanos(record)))
        .limit(MAX_PRINTED_TASKS)
        .map(record -> describe(record, job.sentNanos()))
        .collect(Collectors.joining("\n    ", head + "\n    ", ""));
  }

  private static long lastEndNanos(TaskRecord record) {
    return record.starts.stream()
        .mapToLong(start -> start.nanos() + start.runNanos())
        .max()
        .orElse(Long.MAX_VALUE);
  }

  private static String describe(TaskRecord record, long sentNanos) {
    String starts =
        record.starts.stream()
            .map(
                start ->
                    "%s after %.1f ms for %.1f ms"
                        .formatted(
                            start.address(),
                            (start.nanos() - sentNanos) / 1e6,
                            start.runNanos() / 1e6))
            .collect(Collectors.joining("; "));
    return "task %s, %.1f ms at the reference speed, declared %.1f ms: %s"
        .formatted(
            record.task.key(),
            record.task.runNanos() / 1e6,
            record.task.declared().toNanos() / 1e6,
            starts.isEmpty() ? "not started" : starts);
  }
}
