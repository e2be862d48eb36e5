package org.lovagerack.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Runs a short soak test with real processes. */
final class SoakTest {

  private static final long SEED = 1;

  /** Does not check time bounds, because the machine that runs the tests may be busy. */
  private static final SoakOptions SHORT =
      new SoakOptions(Duration.ofSeconds(8), 3, 6, 30, false, Path.of("target", "soak-test"));

  @Test
  void shortSoakViolatesNoGuarantee() throws Exception {
    assertThat(new Soak(SEED, SHORT).run().toCompletionStage().toCompletableFuture().get())
        .as("violations, see target/soak-test/seed-%d", SEED)
        .isEmpty();
  }
}
