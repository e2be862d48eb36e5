package org.lovagerack.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against two processes with the same seed, and so the same incarnation. */
final class ProcessSeedTest {

  private static final int VMS = 500;
  private static final int START_TIMES = 200;

  @Test
  void seedsDifferBetweenVmsAndBetweenStartsOfOneVm() {
    Set<Long> seeds = new HashSet<>();
    for (int vm = 0; vm < VMS; vm++) {
      for (int startTime = 0; startTime < START_TIMES; startTime++) {
        seeds.add(
            ProcessSeed.of("entry-" + vm, 1_800_000_000_000L + startTime, 5_000_000L + startTime));
      }
    }

    assertThat(seeds).hasSize(VMS * START_TIMES);
  }

  @Test
  void seedsDifferAfterClockIsSetBack() {
    assertThat(ProcessSeed.of("entry", 1_800_000_000_000L, 7_000_000_000L))
        .isNotEqualTo(ProcessSeed.of("entry", 1_800_000_000_000L, 2_000_000_000L));
  }
}
