package org.lovagerack.standins.demonstration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.lovagerack.standins.cluster.Cluster;
import org.lovagerack.standins.cluster.JobKind;
import org.lovagerack.standins.cluster.SubmittedJob;

/** Collects and prints the results of the demonstration. */
final class Report {

  private static final int MAX_STARTS_PER_TASK = 1;

  private final Map<String, List<SubmittedJob>> phases = new LinkedHashMap<>();
  private final Map<String, Boolean> checks = new LinkedHashMap<>();
  private int taskStarts;
  private int distinctTasksStarted;

  void addPhase(String name, List<SubmittedJob> jobs) {
    phases.put(name, List.copyOf(jobs));
  }

  void check(String rule, boolean passed) {
    checks.put(rule, passed);
  }

  /** Checks the rules that compare the observations of callers with those of upstreams. */
  void checkJobs(Map<String, Integer> starts) {
    List<SubmittedJob> jobs = phases.values().stream().flatMap(List::stream).toList();
    check(
        "a completed job returns the complete answers of its own tasks",
        jobs.stream()
            .filter(job -> job.state().equals("completed"))
            .allMatch(SubmittedJob::hasCorrectAnswers));
    check(
        "a task that is not repeatable starts at most once",
        jobs.stream()
            .filter(job -> !job.kind().repeatable())
            .allMatch(job -> maxStarts(job, starts) <= MAX_STARTS_PER_TASK));
    check(
        "a job that is reported as not run was never started",
        jobs.stream()
            .filter(SubmittedJob::isReportedAsNotRun)
            .allMatch(job -> maxStarts(job, starts) == 0));
    taskStarts = starts.values().stream().mapToInt(Integer::intValue).sum();
    distinctTasksStarted = starts.size();
  }

  private static int maxStarts(SubmittedJob job, Map<String, Integer> starts) {
    int max = 0;
    for (int i = 0; i < job.kind().taskCount(); i++) {
      max = Math.max(max, starts.getOrDefault(job.id() + "/" + i, 0));
    }
    return max;
  }

  /** Prints all phases and checks; returns whether all checks passed. */
  boolean print(Cluster cluster) {
    double fastest =
        cluster.upstreams().stream().mapToDouble(Cluster.Upstream::speed).max().orElse(1);
    String domain = Cluster.FAILURE_DOMAINS.getFirst();
    double capacity =
        cluster.upstreams().stream()
            .filter(upstream -> upstream.failureDomain().equals(domain))
            .mapToDouble(upstream -> upstream.speed() * Cluster.SLOTS_PER_UPSTREAM)
            .sum();
    System.out.printf(
        "%n%-28s %-13s %5s %10s %9s %9s %9s  %s%n",
        "phase", "kind", "jobs", "completed", "ideal ms", "p50 ms", "worst ms", "failures");
    phases.forEach((name, jobs) -> printPhase(name, jobs, fastest, capacity));
    System.out.printf(
        "%ntask starts %d, tasks started %d, wasted messages per task %.4f%n%n",
        taskStarts,
        distinctTasksStarted,
        2.0 * (taskStarts - distinctTasksStarted) / Math.max(1, distinctTasksStarted));
    checks.forEach((rule, passed) -> System.out.println((passed ? "ok      " : "FAILED  ") + rule));
    return checks.values().stream().allMatch(passed -> passed);
  }

  private static void printPhase(
      String name, List<SubmittedJob> jobs, double fastest, double capacity) {
    for (JobKind kind : JobKind.values()) {
      List<SubmittedJob> ofKind = jobs.stream().filter(job -> job.kind() == kind).toList();
      if (ofKind.isEmpty()) {
        continue;
      }
      List<Long> times = new ArrayList<>();
      for (SubmittedJob job : ofKind) {
        if (job.state().equals("completed")) {
          times.add(job.responseMillis());
        }
      }
      times.sort(Long::compare);
      Map<String, Long> failures =
          ofKind.stream()
              .filter(job -> job.state().equals("failed"))
              .collect(Collectors.groupingBy(SubmittedJob::problemKind, Collectors.counting()));
      System.out.printf(
          "%-28s %-13s %5d %10d %9.0f %9s %9s  %s%n",
          name,
          kind.kind(),
          ofKind.size(),
          times.size(),
          ofKind.getFirst().idealMillis(fastest, capacity),
          times.isEmpty() ? "-" : times.get(times.size() / 2),
          times.isEmpty() ? "-" : times.getLast(),
          failures);
    }
  }
}
