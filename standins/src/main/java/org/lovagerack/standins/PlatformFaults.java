package org.lovagerack.standins;

import java.util.Set;

/**
 * Faults of the platform stand-in.
 *
 * @param delayMillis delay before each call takes effect, milliseconds
 * @param down whether calls have no effect and their connections are closed without a response
 * @param unreachableFrom failure domains whose calls have no effect and get no response
 * @param lostAnswers number of subsequent writes that take effect but whose connections are closed
 *     without a response
 * @param vmLagMillis age of the VM list that callers receive, milliseconds
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

  PlatformFaults withOneFewerLostAnswer() {
    return new PlatformFaults(delayMillis, down, unreachableFrom, lostAnswers - 1, vmLagMillis);
  }

  /** Returns an instance without faults. */
  public static PlatformFaults none() {
    return new PlatformFaults(0, false, Set.of(), 0, 0);
  }
}
