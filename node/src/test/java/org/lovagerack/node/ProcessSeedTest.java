package org.lovagerack.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against two processes that take each other for the same one. */
final class ProcessSeedTest {

  private static final int VMS = 500;
  private static final int MOMENTS = 200;

  @Test
  void vmsThatStartAtTheSameMomentAndProcessesOfOneVmDiffer() {
    Set<Long> seeds = new HashSet<>();
    for (int vm = 0; vm < VMS; vm++) {
      for (int moment = 0; moment < MOMENTS; moment++) {
        seeds.add(ProcessSeed.of("entry-" + vm, 1_800_000_000_000L + moment, 5_000_000L + moment));
      }
    }

    assertThat(seeds).hasSize(VMS * MOMENTS);
  }

  @Test
  void processesDifferAlsoWhenTheTimeOfDayWasSetBack() {
    assertThat(ProcessSeed.of("entry", 1_800_000_000_000L, 7_000_000_000L))
        .isNotEqualTo(ProcessSeed.of("entry", 1_800_000_000_000L, 2_000_000_000L));
  }
}
