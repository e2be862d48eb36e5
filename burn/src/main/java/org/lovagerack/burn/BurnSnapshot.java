package org.lovagerack.burn;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The burn of every service at one time, of one entry VM or merged over several.
 *
 * @param services burn by name of the service
 */
public record BurnSnapshot(Map<String, ServiceBurn> services) {

  /** Largest number of jobs of one outcome that a snapshot may carry; JSON numbers are exact. */
  static final long LARGEST_COUNT = 1L << 53;

  private static final BurnSnapshot EMPTY = new BurnSnapshot(Map.of());

  public BurnSnapshot {
    services = Collections.unmodifiableMap(new TreeMap<>(services));
  }

  /** Returns the snapshot without services, which changes nothing in a merge. */
  public static BurnSnapshot empty() {
    return EMPTY;
  }

  /** Returns the sum of both snapshots; order and grouping of merges make no difference. */
  public BurnSnapshot merge(BurnSnapshot other) {
    Map<String, ServiceBurn> merged = new TreeMap<>(services);
    other.services.forEach((name, burn) -> merged.merge(name, burn, ServiceBurn::plus));
    return new BurnSnapshot(merged);
  }
}
