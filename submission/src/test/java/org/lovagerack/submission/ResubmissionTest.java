package org.lovagerack.submission;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Guards against a task that starts twice because of a resubmission, a "not run" that does not stay
 * true, an answer that is partial, out of order or of another request, and an identifier that
 * changes its meaning. The oracle in {@link SimulatedCluster} checks these after every step.
 */
final class ResubmissionTest {

  @Property(tries = 1500, seed = "20261204")
  void processesAgreeWithTheOracle(@ForAll("sequences") List<SimulatedCluster.Step> steps)
      throws Exception {
    SimulatedCluster cluster = new SimulatedCluster();
    for (SimulatedCluster.Step step : steps) {
      cluster.run(step);
    }
  }

  @Provide
  Arbitrary<List<SimulatedCluster.Step>> sequences() {
    Arbitrary<SimulatedCluster.Operation> operations =
        Arbitraries.frequency(
            Tuple.of(8, SimulatedCluster.Operation.ISSUE),
            Tuple.of(20, SimulatedCluster.Operation.SUBMIT),
            Tuple.of(3, SimulatedCluster.Operation.SUBMIT_OTHER_BODY),
            Tuple.of(8, SimulatedCluster.Operation.DELAY_DUPLICATE),
            Tuple.of(8, SimulatedCluster.Operation.DELIVER_DUPLICATE),
            Tuple.of(20, SimulatedCluster.Operation.START_TASK),
            Tuple.of(20, SimulatedCluster.Operation.SUCCEED_TASK),
            Tuple.of(4, SimulatedCluster.Operation.FAIL_TASK),
            Tuple.of(3, SimulatedCluster.Operation.CANCEL),
            Tuple.of(2, SimulatedCluster.Operation.RESTART),
            Tuple.of(4, SimulatedCluster.Operation.PAUSE_OR_RESUME),
            Tuple.of(6, SimulatedCluster.Operation.ADVANCE),
            Tuple.of(4, SimulatedCluster.Operation.TOGGLE_REFUSAL),
            Tuple.of(1, SimulatedCluster.Operation.DRAIN),
            Tuple.of(2, SimulatedCluster.Operation.HAND_OVER));
    Arbitrary<Integer> index = Arbitraries.integers().between(0, 1000);
    return Combinators.combine(operations, index, index)
        .as(SimulatedCluster.Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(150);
  }
}
