package org.lovagerack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against peers that reconnect simultaneously or wait longer than 2 s. */
final class ReconnectBackoffTest {

  @Test
  void delaysGrowToTwoSecondsAndDiffer() {
    ReconnectBackoff retryDelay = new ReconnectBackoff(new Random(4106));

    assertThat(retryDelay.next()).isBetween(Duration.ofMillis(25), Duration.ofMillis(50));
    Stream.generate(retryDelay::next).limit(10).forEach(delay -> {});
    assertThat(Stream.generate(retryDelay::next).limit(20))
        .allMatch(delay -> delay.toMillis() >= 1_000 && delay.toMillis() <= 2_000)
        .doesNotHaveDuplicates();
  }
}
