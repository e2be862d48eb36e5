package org.lovagerack.benchmarks;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Selects an upstream when a task arrives. */
sealed interface UpstreamSelector {

  /**
   * Returns one of the candidates.
   *
   * @param candidates addresses, not empty
   * @param inFlight attempts of this entry VM in flight by address
   */
  String select(List<String> candidates, Map<String, Integer> inFlight);

  /** Creates a selector for one entry VM. */
  @FunctionalInterface
  interface Factory {
    UpstreamSelector create(RandomGenerator random);
  }

  /** Any upstream with equal probability. */
  record RandomChoice(RandomGenerator random) implements UpstreamSelector {
    @Override
    public String select(List<String> candidates, Map<String, Integer> inFlight) {
      return candidates.get(random.nextInt(candidates.size()));
    }
  }

  /** All upstreams in turn, starting with a random one. */
  final class RoundRobin implements UpstreamSelector {
    private int next;

    RoundRobin(RandomGenerator random) {
      next = random.nextInt(1_000);
    }

    @Override
    public String select(List<String> candidates, Map<String, Integer> inFlight) {
      next++;
      return candidates.get(next % candidates.size());
    }
  }

  /** The upstream with the fewest attempts in flight from this entry VM; ties at random. */
  record LeastInFlight(RandomGenerator random) implements UpstreamSelector {
    @Override
    public String select(List<String> candidates, Map<String, Integer> inFlight) {
      int offset = random.nextInt(candidates.size());
      String best = candidates.get(offset);
      for (int i = 1; i < candidates.size(); i++) {
        String other = candidates.get((offset + i) % candidates.size());
        if (inFlight.getOrDefault(other, 0) < inFlight.getOrDefault(best, 0)) {
          best = other;
        }
      }
      return best;
    }
  }

  /** The one of two random upstreams with fewer attempts in flight from this entry VM. */
  record TwoChoices(RandomGenerator random) implements UpstreamSelector {
    @Override
    public String select(List<String> candidates, Map<String, Integer> inFlight) {
      String first = candidates.get(random.nextInt(candidates.size()));
      String second = candidates.get(random.nextInt(candidates.size()));
      return inFlight.getOrDefault(second, 0) < inFlight.getOrDefault(first, 0) ? second : first;
    }
  }
}
