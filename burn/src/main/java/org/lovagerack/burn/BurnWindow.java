package org.lovagerack.burn;

import java.time.Duration;

/** The windows over which jobs are counted, shortest first. */
public enum BurnWindow {
  FIVE_MINUTES("5m", Duration.ofMinutes(5)),
  THIRTY_MINUTES("30m", Duration.ofMinutes(30)),
  ONE_HOUR("1h", Duration.ofHours(1)),
  SIX_HOURS("6h", Duration.ofHours(6));

  /** The longest window, over which the remaining budget is calculated. */
  public static final BurnWindow LONGEST = SIX_HOURS;

  private final String wireName;
  private final Duration length;

  BurnWindow(String wireName, Duration length) {
    this.wireName = wireName;
    this.length = length;
  }

  /** Returns the name in JSON and reports, such as {@code 5m}. */
  public String wireName() {
    return wireName;
  }

  /** Returns the length of the window. */
  public Duration length() {
    return length;
  }
}
