package org.lovagerack.burn;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Error budget data of every service at one time, from one entry VM or merged over several.
 *
 * @param services data by service name
 */
public record BurnSnapshot(Map<String, ServiceBurn> services) {

  /** Largest job count in a snapshot; JSON numbers are exact up to this value. */
  static final long MAX_COUNT = 1L << 53;

  private static final BurnSnapshot EMPTY = new BurnSnapshot(Map.of());

  public BurnSnapshot {
    services = Collections.unmodifiableMap(new TreeMap<>(services));
  }

  /** Returns the snapshot without services, the identity element of {@link #merge}. */
  public static BurnSnapshot empty() {
    return EMPTY;
  }

  /** Returns the sum of both snapshots; merging is commutative and associative. */
  public BurnSnapshot merge(BurnSnapshot other) {
    Map<String, ServiceBurn> merged = new TreeMap<>(services);
    other.services.forEach((name, burn) -> merged.merge(name, burn, ServiceBurn::plus));
    return new BurnSnapshot(merged);
  }
}
