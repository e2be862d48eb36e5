package org.lovagerack.standins;

import java.util.Set;

/**
 * Faults of the platform stand-in.
 *
 * @param delayMillis time before each call takes effect
 * @param down calls have no effect, and their connections are closed without an answer
 * @param unreachableFrom failure domains whose calls have no effect and are never answered
 * @param lostAnswers number of next writes that take effect but whose connections are closed
 *     without an answer
 * @param vmLagMillis how far the VM list lags behind
 */
public record PlatformFaults(
    long delayMillis,
    boolean down,
    Set<String> unreachableFrom,
    int lostAnswers,
    long vmLagMillis) {

  public PlatformFaults {
    unreachableFrom = unreachableFrom == null ? Set.of() : Set.copyOf(unreachableFrom);
  }

  PlatformFaults withOneLostAnswerLess() {
    return new PlatformFaults(delayMillis, down, unreachableFrom, lostAnswers - 1, vmLagMillis);
  }

  /** Returns the state without faults. */
  public static PlatformFaults none() {
    return new PlatformFaults(0, false, Set.of(), 0, 0);
  }
}
