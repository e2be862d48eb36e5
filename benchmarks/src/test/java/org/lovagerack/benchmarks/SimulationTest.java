package org.lovagerack.benchmarks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the metrics of the policy comparison. */
final class SimulationTest {

  private static final long SEED = 7;
  private static final Duration HORIZON = Duration.ofSeconds(30);

  /** The ideal must be a lower bound, or every ratio to it would be wrong. */
  @ParameterizedTest
  @MethodSource("policies")
  void noResponseIsFasterThanTheIdeal(PolicyFactory policy) {
    for (Workload workload : Workload.all()) {
      for (double load : new double[] {0.02, 0.5}) {
        RunResult result = run(workload, new Scenario(load, Set.of()), policy);
        assertThat(result.kinds().values())
            .extracting(KindTotals::minRatio)
            .allSatisfy(ratio -> assertThat(ratio).isGreaterThanOrEqualTo(1));
      }
    }
  }

  /** The ideal must be a tight bound, or differences between policies would be hidden. */
  @Test
  void singleTaskReachesTheIdealExceptForConnectionSetup() {
    KindProfile kind =
        new KindProfile(
            "lone",
            true,
            false,
            1,
            1,
            Duration.ofMillis(50),
            Duration.ofMillis(51),
            Duration.ofSeconds(9),
            1);
    Workload workload = new Workload("one", 1, List.of(4.0), List.of(kind));

    RunResult result =
        run(workload, new Scenario(0.001, Set.of()), PolicyFactory.baselines().get(0));

    assertThat(result.kinds().get("lone").minRatio()).isBetween(1.0, 1.03);
  }

  /** Policies are comparable only if they get identical arrivals. */
  @Test
  void drawsTheSameArrivalsForTheSameSeed() {
    Scenario scenario = new Scenario(0.7, Set.of(Fault.BURSTS, Fault.IMPOSSIBLE_JOBS));
    ArrivalPlan first = new ArrivalPlan(Workload.maracas(), scenario, HORIZON, SEED);
    ArrivalPlan second = new ArrivalPlan(Workload.maracas(), scenario, HORIZON, SEED);

    assertThat(first.draw()).isEqualTo(second.draw());
  }

  /** The offered load must match the load in the scenario name. */
  @ParameterizedTest
  @MethodSource("workloads")
  void arrivalsMatchTheScenarioLoad(Workload workload) {
    Scenario scenario = new Scenario(0.7, Set.of(Fault.BURSTS));
    Duration horizon = Duration.ofMinutes(20);

    double work =
        new ArrivalPlan(workload, scenario, horizon, SEED)
            .draw().stream().mapToDouble(PlannedJob::firstAttemptWork).sum();

    assertThat(work / workload.capacity() / horizon.toNanos()).isBetween(0.67, 0.73);
  }

  /** Versions are comparable only if a run is reproducible from its seed. */
  @ParameterizedTest
  @MethodSource("policies")
  void sameSeedGivesTheSameResult(PolicyFactory policy) {
    Scenario scenario = new Scenario(0.7, Set.of(Fault.SILENT_CONNECTIONS, Fault.UPSTREAM_DIES));

    assertThat(summary(policy, scenario)).isEqualTo(summary(policy, scenario));
  }

  private static List<String> summary(PolicyFactory policy, Scenario scenario) {
    RunResult result = run(Workload.halvorsen(), scenario, policy);
    return result.kinds().values().stream()
        .map(kind -> kind.quantile(99) + " " + kind.late + " " + kind.failed + " " + kind.tasks)
        .toList();
  }

  private static RunResult run(Workload workload, Scenario scenario, PolicyFactory policy) {
    return new Simulation(workload, scenario, policy, HORIZON, SEED, 0.5).run();
  }

  private static List<PolicyFactory> policies() {
    return PolicyFactory.all();
  }

  private static List<Workload> workloads() {
    return Workload.all();
  }
}
