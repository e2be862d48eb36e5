package org.lovagerack.submission;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

/**
 * Runs random sequences of calls and faults. Guards against a resubmission that starts a task
 * twice, a task that runs after "not run" was reported, an answer that is incomplete, out of order
 * or of another request, and an identifier that is used for two jobs. {@link SubmissionOracle}
 * checks these properties after every step.
 */
final class ResubmissionTest {

  @Tag("fuzz")
  @Property(tries = 60_000)
  void everyObservationAgreesForRandomSeeds(@ForAll("sequences") List<SimulatedCluster.Step> steps)
      throws Exception {
    run(steps);
  }

  @Property(tries = 3000, seed = "20261204")
  void everyObservationAgreesWithTheOracle(@ForAll("sequences") List<SimulatedCluster.Step> steps)
      throws Exception {
    run(steps).observed.forEach(Statistics::collect);
    // Fails if the generated sequences no longer reach a state, which would then not be tested.
    Statistics.coverage(
        checker -> {
          for (String kind : SubmissionOracle.REACHABLE) {
            checker.check(kind).count(count -> count >= 10);
          }
        });
  }

  private static SimulatedCluster run(List<SimulatedCluster.Step> steps) throws Exception {
    SimulatedCluster cluster = new SimulatedCluster();
    for (SimulatedCluster.Step step : steps) {
      cluster.run(step);
    }
    return cluster;
  }

  @Provide
  Arbitrary<List<SimulatedCluster.Step>> sequences() {
    Arbitrary<SimulatedCluster.Operation> operations =
        Arbitraries.frequencyOf(
            Tuple.of(3, Arbitraries.of(SimulatedCluster.FREQUENT)),
            Tuple.of(2, Arbitraries.of(SimulatedCluster.Operation.class)));
    Arbitrary<Integer> index = Arbitraries.integers().between(0, 59);
    return Combinators.combine(operations, index, index)
        .as(SimulatedCluster.Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(150);
  }
}
