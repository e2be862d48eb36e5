package org.lovagerack.dispatch;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** One step of a generated test run. */
sealed interface Step {

  record Submit(int tasks, boolean urgent, boolean repeatable, int deadlineMillis, int runMillis)
      implements Step {}

  record Advance(int millis) implements Step {}

  /** Pauses the process; starts are suspended afterwards unless {@code unnoticed}. */
  record Pause(int millis, boolean unnoticed) implements Step {}

  /** Ends open attempts, from the {@code pick}th on, in the same way. */
  record Finish(int pick, int count, Result result) implements Step {}

  /** Delivers another answer to an attempt that has ended. */
  record DuplicateAnswer(int pick) implements Step {}

  record Cancel(int pick, int count) implements Step {}

  record Redeploy(int upstream, int slots) implements Step {}

  record Leaving(int upstream) implements Step {}

  record Live(int upstream) implements Step {}

  record PeerReport(int peer, int upstream, int inFlight) implements Step {}

  record PeerLeft(int peer) implements Step {}

  record Release() implements Step {}

  /** How an attempt ends. */
  enum Result {
    SUCCESS,
    FAILURE,
    NOT_STARTED,
    NOT_SENT,
    LOST
  }

  static Arbitrary<List<Step>> runs(int upstreams) {
    Arbitrary<Integer> upstream = Arbitraries.integers().between(0, upstreams - 1);
    Arbitrary<Integer> pick = Arbitraries.integers().between(0, 40);
    Arbitrary<Integer> count = Arbitraries.integers().between(1, 8);
    Arbitrary<Boolean> flag = Arbitraries.of(true, false);
    Arbitrary<Integer> peer = Arbitraries.integers().between(1, 2);
    Arbitrary<Result> result =
        Arbitraries.frequency(
            Tuple.of(8, Result.SUCCESS),
            Tuple.of(1, Result.FAILURE),
            Tuple.of(1, Result.NOT_STARTED),
            Tuple.of(1, Result.NOT_SENT),
            Tuple.of(1, Result.LOST));
    Arbitrary<Step> submit =
        Combinators.combine(
                count,
                flag,
                flag,
                Arbitraries.integers().between(1, 3000),
                Arbitraries.integers().between(1, 2000))
            .as(Submit::new);
    Arbitrary<Step> finish = Combinators.combine(pick, count, result).as(Finish::new);
    return Arbitraries.frequencyOf(
            Tuple.of(8, submit),
            Tuple.of(
                8,
                Arbitraries.integers().between(0, 400).map(millis -> (Step) new Advance(millis))),
            Tuple.of(12, finish),
            Tuple.of(
                1,
                Combinators.combine(Arbitraries.integers().between(1, 4000), flag)
                    .as((millis, unnoticed) -> (Step) new Pause(millis, unnoticed))),
            Tuple.of(2, pick.map(value -> (Step) new DuplicateAnswer(value))),
            Tuple.of(2, Combinators.combine(pick, count).as(Cancel::new)),
            Tuple.of(
                2,
                Combinators.combine(upstream, Arbitraries.integers().between(0, 4))
                    .as(Redeploy::new)),
            Tuple.of(2, upstream.map(value -> (Step) new Leaving(value))),
            Tuple.of(1, upstream.map(value -> (Step) new Live(value))),
            Tuple.of(
                2,
                Combinators.combine(peer, upstream, Arbitraries.integers().between(0, 4))
                    .as(PeerReport::new)),
            Tuple.of(1, peer.map(value -> (Step) new PeerLeft(value))),
            Tuple.of(1, Arbitraries.just((Step) new Release())))
        .list()
        .ofMinSize(20)
        .ofMaxSize(120);
  }
}
