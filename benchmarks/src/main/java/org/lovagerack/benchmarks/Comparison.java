package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs every policy on every workload and scenario, several runs in parallel. */
final class Comparison {

  static final double DEFAULT_MESSAGE_WEIGHT = 0.5;

  /** Small, because the benchmark machine is shared with other work. */
  private static final int THREADS = 4;

  private final BenchmarkOptions options;

  Comparison(BenchmarkOptions options) {
    this.options = options;
  }

  /** Returns the runs, ordered by workload, scenario and policy. */
  List<PolicyRun> run() throws Exception {
    List<Callable<PolicyRun>> runs = new ArrayList<>();
    for (Workload workload : Workload.all()) {
      for (Scenario scenario : Scenario.all()) {
        if (selected(workload, scenario)) {
          for (PolicyFactory policy : PolicyFactory.all()) {
            runs.add(() -> runOne(workload, scenario, policy, DEFAULT_MESSAGE_WEIGHT));
          }
        }
      }
    }
    return runAll(runs);
  }

  /** Runs the lovagerack policy at several message weights and {@link Scenario#FAULT_LOAD}. */
  List<PolicyRun> sweep() throws Exception {
    List<Callable<PolicyRun>> runs = new ArrayList<>();
    for (Workload workload : Workload.all()) {
      Scenario scenario = new Scenario(Scenario.FAULT_LOAD, java.util.Set.of());
      if (selected(workload, scenario)) {
        for (double weight : new double[] {0, 0.25, 0.5, 0.75, 1}) {
          for (PolicyFactory policy : PolicyFactory.underTest()) {
            runs.add(() -> runOne(workload, scenario, policy, weight));
          }
        }
      }
    }
    return runAll(runs);
  }

  private List<PolicyRun> runAll(List<Callable<PolicyRun>> runs) throws Exception {
    List<PolicyRun> finishedRuns = new ArrayList<>();
    try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
      for (Future<PolicyRun> finished : executor.invokeAll(runs)) {
        finishedRuns.add(finished.get());
      }
    }
    return finishedRuns;
  }

  private PolicyRun runOne(
      Workload workload, Scenario scenario, PolicyFactory policy, double messageWeight) {
    Simulation simulation =
        new Simulation(
            workload, scenario, policy, options.horizon(), options.seed(), messageWeight);
    RunResult result = simulation.run();
    List<String> traces =
        policy.baseline()
            ? List.of()
            : JobTrace.aroundP99(workload, simulation.jobs(), options.traces());
    return new PolicyRun(workload, scenario, policy, messageWeight, result, traces);
  }

  private boolean selected(Workload workload, Scenario scenario) {
    return (workload.user() + "/" + scenario.name()).contains(options.scenario());
  }
}
