package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs every policy on every workload and scenario, several independent runs at a time. */
final class Comparison {

  static final double DEFAULT_MESSAGE_WEIGHT = 0.5;

  /** The machine that measures is shared with other work. */
  private static final int THREADS = 4;

  private final BenchmarkOptions options;

  Comparison(BenchmarkOptions options) {
    this.options = options;
  }

  /** Returns the runs in the order of workload, scenario and policy. */
  List<Cell> run() throws Exception {
    List<Callable<Cell>> runs = new ArrayList<>();
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

  /** Returns runs of the own policy at each weight, at the load at which faults are measured. */
  List<Cell> sweep() throws Exception {
    List<Callable<Cell>> runs = new ArrayList<>();
    for (Workload workload : Workload.all()) {
      Scenario scenario = new Scenario(Scenario.FAULT_LOAD, java.util.Set.of());
      if (selected(workload, scenario)) {
        for (double weight : new double[] {0, 0.25, 0.5, 0.75, 1}) {
          for (PolicyFactory policy : PolicyFactory.own()) {
            runs.add(() -> runOne(workload, scenario, policy, weight));
          }
        }
      }
    }
    return runAll(runs);
  }

  private List<Cell> runAll(List<Callable<Cell>> runs) throws Exception {
    List<Cell> cells = new ArrayList<>();
    try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
      for (Future<Cell> finished : executor.invokeAll(runs)) {
        cells.add(finished.get());
      }
    }
    return cells;
  }

  private Cell runOne(
      Workload workload, Scenario scenario, PolicyFactory policy, double messageWeight) {
    Simulation simulation =
        new Simulation(
            workload, scenario, policy, options.horizon(), options.seed(), messageWeight);
    RunResult result = simulation.run();
    List<String> traces =
        policy.baseline()
            ? List.of()
            : JobTrace.aroundP99(workload, simulation.jobs(), options.traces());
    return new Cell(workload, scenario, policy, messageWeight, result, traces);
  }

  private boolean selected(Workload workload, Scenario scenario) {
    return (workload.user() + "/" + scenario.name()).contains(options.scenario());
  }
}
