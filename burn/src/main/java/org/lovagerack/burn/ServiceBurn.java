package org.lovagerack.burn;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Error budget data of one service.
 *
 * @param objective fraction of jobs that must be on time, between 0 and 1
 * @param windows counts of jobs; windows without an entry count zero
 * @param responseTimes response times of jobs that were on time or late
 */
public record ServiceBurn(
    double objective, Map<BurnWindow, BurnCounts> windows, ResponseTimes responseTimes) {

  /**
   * @throws IllegalArgumentException if the objective is not between 0 and 1
   */
  public ServiceBurn {
    if (!validObjective(objective)) {
      throw new IllegalArgumentException("objective is not between 0 and 1: " + objective);
    }
    EnumMap<BurnWindow, BurnCounts> complete = new EnumMap<>(BurnWindow.class);
    for (BurnWindow window : BurnWindow.values()) {
      complete.put(window, windows.getOrDefault(window, BurnCounts.NONE));
    }
    windows = Collections.unmodifiableMap(complete);
  }

  static boolean validObjective(double objective) {
    return objective > 0 && objective < 1;
  }

  /** Returns the burn rate over a window; see {@link BurnCounts#burnRate}. */
  public double burnRate(BurnWindow window) {
    return windows.get(window).burnRate(objective);
  }

  /** Returns the remaining fraction of the longest window's error budget; negative if overspent. */
  public double budgetLeft() {
    return 1 - burnRate(BurnWindow.LONGEST);
  }

  /**
   * Merges the counts of two entry VMs. While a change of the objective propagates, the stricter
   * one applies, which keeps the merge independent of the order.
   */
  ServiceBurn plus(ServiceBurn other) {
    EnumMap<BurnWindow, BurnCounts> sum = new EnumMap<>(BurnWindow.class);
    windows.forEach((window, counts) -> sum.put(window, counts.plus(other.windows.get(window))));
    return new ServiceBurn(
        Math.max(objective, other.objective), sum, responseTimes.plus(other.responseTimes));
  }
}
