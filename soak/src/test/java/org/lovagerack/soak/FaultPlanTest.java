package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A seed stands for one plan, and long plans hold every kind of fault. */
final class FaultPlanTest {

  private static FaultPlan draw(long seed) {
    return FaultPlan.draw(new SplittableRandom(seed), Duration.ofMinutes(5), 4, 8);
  }

  @Test
  void sameSeedGivesTheSamePlan() {
    assertThat(draw(7).entries()).isEqualTo(draw(7).entries());
    assertThat(draw(7).entries()).isNotEqualTo(draw(8).entries());
  }

  @Test
  void longPlanHoldsEveryKindOfFault() {
    Set<Class<?>> kinds = new HashSet<>();
    draw(1).entries().forEach(entry -> kinds.add(entry.fault().getClass()));

    assertThat(kinds).containsExactlyInAnyOrder(Fault.class.getPermittedSubclasses());
  }

  @Test
  void faultsOverlap() {
    FaultPlan plan = draw(1);
    assertThat(plan.entries().size()).isGreaterThan(300);
    assertThat(plan.entries()).isSortedAccordingTo((one, other) -> one.at().compareTo(other.at()));
  }
}
