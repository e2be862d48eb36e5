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
 * Guards against a task that starts twice because of a resubmission, a "not run" that does not stay
 * true, an answer that is partial, out of order or of another request, and an identifier that
 * changes its meaning. {@link SubmissionOracle} checks these after every step.
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
    // Sequences that no longer reach a state would pass without testing it.
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
