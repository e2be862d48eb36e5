package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An offered load and the injected faults.
 *
 * @param load offered work as a share of the capacity
 * @param faults injected faults
 */
record Scenario(double load, Set<Fault> faults) {

  /** Load of the scenarios with faults. */
  static final double FAULT_LOAD = 0.7;

  Scenario {
    faults = Set.copyOf(faults);
  }

  static List<Scenario> all() {
    List<Scenario> scenarios = new ArrayList<>();
    for (double load : new double[] {0.5, FAULT_LOAD, 0.85, 0.95, 2}) {
      scenarios.add(new Scenario(load, Set.of()));
    }
    for (Fault fault : Fault.values()) {
      scenarios.add(new Scenario(FAULT_LOAD, Set.of(fault)));
    }
    scenarios.add(pair(Fault.UPSTREAM_DIES, Fault.BURSTS));
    scenarios.add(pair(Fault.SILENT_CONNECTIONS, Fault.WRONG_RUN_TIMES));
    scenarios.add(pair(Fault.UPSTREAM_FAILS, Fault.CANCELLATION_WAVES));
    return scenarios;
  }

  String name() {
    if (faults.isEmpty()) {
      return "load-" + Math.round(load * 100);
    }
    return faults.stream().sorted().map(Fault::label).collect(Collectors.joining("+"));
  }

  boolean has(Fault fault) {
    return faults.contains(fault);
  }

  boolean overload() {
    return load > 1;
  }

  private static Scenario pair(Fault first, Fault second) {
    return new Scenario(FAULT_LOAD, Set.of(first, second));
  }
}
