package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that a seed determines the plan and that long plans contain every kind of fault. */
final class FaultPlanTest {

  private static FaultPlan generate(long seed) {
    return FaultPlan.generate(new SplittableRandom(seed), Duration.ofMinutes(5), 4, 8);
  }

  @Test
  void sameSeedGivesTheSamePlan() {
    assertThat(generate(7).entries()).isEqualTo(generate(7).entries());
    assertThat(generate(7).entries()).isNotEqualTo(generate(8).entries());
  }

  @Test
  void longPlanContainsEveryKindOfFault() {
    Set<Class<?>> kinds = new HashSet<>();
    generate(1).entries().forEach(entry -> kinds.add(entry.fault().getClass()));

    assertThat(kinds).containsExactlyInAnyOrder(Fault.class.getPermittedSubclasses());
  }

  @Test
  void longPlanIsSortedAndHasManyFaults() {
    FaultPlan plan = generate(1);
    assertThat(plan.entries().size()).isGreaterThan(300);
    assertThat(plan.entries())
        .isSortedAccordingTo((one, other) -> one.start().compareTo(other.start()));
  }
}
