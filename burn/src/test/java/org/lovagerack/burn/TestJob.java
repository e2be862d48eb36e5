package org.lovagerack.burn;

import java.time.Duration;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/**
 * A job to be recorded some time after the previous one.
 *
 * @param pause time since the previous job
 * @param entryVm index of the entry VM that records it
 */
record TestJob(
    Duration pause, int entryVm, String service, BurnOutcome outcome, Duration responseTime) {

  static final int ENTRY_VMS = 3;

  /** Generates jobs seconds to hours apart, so that slots of every window expire or are skipped. */
  static Arbitrary<TestJob> any() {
    Arbitrary<Long> pauseMillis =
        Arbitraries.frequencyOf(
            Tuple.of(10, Arbitraries.longs().between(0, 3_000)),
            Tuple.of(6, Arbitraries.longs().between(0, 400_000)),
            Tuple.of(1, Arbitraries.longs().between(0, 30_000_000)));
    return Combinators.combine(
            pauseMillis,
            Arbitraries.integers().between(0, ENTRY_VMS - 1),
            Arbitraries.of("swap", "alert"),
            Arbitraries.of(BurnOutcome.class),
            Arbitraries.longs().between(0, 100_000))
        .as(
            (pause, vm, service, outcome, response) ->
                new TestJob(
                    Duration.ofMillis(pause), vm, service, outcome, Duration.ofMillis(response)));
  }

  static BurnRecorder recorder(org.lovagerack.foundation.timer.TimerService timer) {
    BurnRecorder recorder = new BurnRecorder(timer);
    recorder.objective("swap", 0.99);
    recorder.objective("alert", 0.999);
    return recorder;
  }

  void recordIn(BurnRecorder recorder) {
    recorder.record(service, outcome, responseTime);
  }
}
