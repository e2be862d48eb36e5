package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.lovagerack.dispatch.DispatchObserver;
import org.lovagerack.dispatch.DispatchSettings;
import org.lovagerack.dispatch.Dispatcher;
import org.lovagerack.dispatch.UpstreamTransport;
import org.lovagerack.foundation.timer.TimerService;

/**
 * A named dispatch policy.
 *
 * @param name name in reports
 * @param baseline whether it serves as a baseline for the policies under test
 * @param constructor creates the dispatcher of one entry VM
 */
record PolicyFactory(String name, boolean baseline, Constructor constructor) {

  /** Creates the dispatcher of one entry VM. */
  @FunctionalInterface
  interface Constructor {
    EntryPolicy create(TimerService timer, UpstreamTransport transport, RandomGenerator random);
  }

  /** Returns every policy of the comparison. */
  static List<PolicyFactory> all() {
    List<PolicyFactory> all = new ArrayList<>(baselines());
    all.addAll(underTest());
    return all;
  }

  /** Returns the policies under test. */
  static List<PolicyFactory> underTest() {
    return List.of(
        new PolicyFactory(
            "lovagerack",
            false,
            (timer, transport, random) ->
                new LateBindingPolicy(
                    new Dispatcher(
                        timer,
                        transport,
                        random,
                        DispatchSettings.defaults(),
                        DispatchObserver.none()))));
  }

  static List<PolicyFactory> baselines() {
    return List.of(
        baseline("random", UpstreamSelector.RandomChoice::new),
        baseline("round-robin", UpstreamSelector.RoundRobin::new),
        baseline("least-in-flight", UpstreamSelector.LeastInFlight::new),
        baseline("two-choices", UpstreamSelector.TwoChoices::new));
  }

  private static PolicyFactory baseline(String name, UpstreamSelector.Factory selectors) {
    return new PolicyFactory(
        name,
        true,
        (timer, transport, random) ->
            new EarlyBindingDispatcher(timer, transport, selectors.create(random)));
  }
}
