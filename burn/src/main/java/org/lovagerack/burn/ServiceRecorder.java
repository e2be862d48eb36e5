package org.lovagerack.burn;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** Records job counts and response times of one service in preallocated memory. */
final class ServiceRecorder {

  private final Map<BurnWindow, CountRing> rings = new EnumMap<>(BurnWindow.class);
  private final ResponseTimeRing responseTimes;
  private double objective;

  ServiceRecorder(long originNanos) {
    for (BurnWindow window : BurnWindow.values()) {
      rings.put(window, new CountRing(window, originNanos));
    }
    responseTimes = new ResponseTimeRing(originNanos);
  }

  void objective(double share) {
    objective = share;
  }

  void add(long nowNanos, BurnOutcome outcome, Duration responseTime) {
    rings.values().forEach(ring -> ring.add(nowNanos, outcome));
    if (outcome == BurnOutcome.ON_TIME || outcome == BurnOutcome.LATE) {
      responseTimes.add(nowNanos, responseTime);
    }
  }

  ServiceBurn snapshot(long nowNanos) {
    EnumMap<BurnWindow, BurnCounts> windows = new EnumMap<>(BurnWindow.class);
    rings.forEach((window, ring) -> windows.put(window, ring.sum(nowNanos)));
    return new ServiceBurn(objective, windows, responseTimes.sum(nowNanos));
  }
}
