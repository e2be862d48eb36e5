package org.lovagerack.standins.demonstration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.lovagerack.standins.cluster.Cluster;
import org.lovagerack.standins.cluster.JobKind;
import org.lovagerack.standins.cluster.SubmittedJob;

/** Collects the outcomes of the demonstration and prints them. */
final class Report {

  private static final int TASKS_PER_START = 1;

  private final Map<String, List<SubmittedJob>> phases = new LinkedHashMap<>();
  private final Map<String, Boolean> checks = new LinkedHashMap<>();
  private int taskStarts;
  private int tasksStarted;

  void addPhase(String name, List<SubmittedJob> jobs) {
    phases.put(name, List.copyOf(jobs));
  }

  void check(String rule, boolean held) {
    checks.put(rule, held);
  }

  /** Checks the rules that need both what callers and what upstreams saw. */
  void checkJobs(Map<String, Integer> starts) {
    List<SubmittedJob> jobs = phases.values().stream().flatMap(List::stream).toList();
    check(
        "a completed job has the whole answer to its own request",
        jobs.stream()
            .filter(job -> job.state().equals("completed"))
            .allMatch(SubmittedJob::hasWholeOwnAnswer));
    check(
        "a task that must not be repeated starts at most once",
        jobs.stream()
            .filter(job -> !job.kind().repeatable())
            .allMatch(job -> mostStarts(job, starts) <= TASKS_PER_START));
    check(
        "a job that is said to be not run was never started",
        jobs.stream()
            .filter(SubmittedJob::saysNotRun)
            .allMatch(job -> mostStarts(job, starts) == 0));
    taskStarts = starts.values().stream().mapToInt(Integer::intValue).sum();
    tasksStarted = starts.size();
  }

  private static int mostStarts(SubmittedJob job, Map<String, Integer> starts) {
    int most = 0;
    for (int i = 0; i < job.kind().taskCount(); i++) {
      most = Math.max(most, starts.getOrDefault(job.id() + "/" + i, 0));
    }
    return most;
  }

  /** Prints everything; returns whether every check held. */
  boolean print(Cluster cluster) {
    double fastest =
        cluster.upstreams().stream().mapToDouble(Cluster.Upstream::speed).max().orElse(1);
    String domain = Cluster.FAILURE_DOMAINS.getFirst();
    double capacity =
        cluster.upstreams().stream()
            .filter(upstream -> upstream.failureDomain().equals(domain))
            .mapToDouble(upstream -> upstream.speed() * Cluster.SLOTS)
            .sum();
    System.out.printf(
        "%n%-28s %-13s %5s %10s %9s %9s %9s  %s%n",
        "phase", "kind", "jobs", "completed", "ideal ms", "p50 ms", "worst ms", "failures");
    phases.forEach((name, jobs) -> printPhase(name, jobs, fastest, capacity));
    System.out.printf(
        "%ntask starts %d, tasks started %d, wasted messages per task %.4f%n%n",
        taskStarts, tasksStarted, 2.0 * (taskStarts - tasksStarted) / Math.max(1, tasksStarted));
    checks.forEach((rule, held) -> System.out.println((held ? "ok      " : "FAILED  ") + rule));
    return checks.values().stream().allMatch(held -> held);
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
