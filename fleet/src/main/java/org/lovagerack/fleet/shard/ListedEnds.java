package org.lovagerack.fleet.shard;

import java.util.TreeMap;

/**
 * The ends that one process of a worker lists until they are acknowledged. They are numbered, and
 * an acknowledgement covers every number up to its own.
 */
final class ListedEnds {

  private final TreeMap<Long, Boolean> settled = new TreeMap<>();
  private long acknowledgedThrough;
  private long processedThrough;

  /** Returns whether an end is listed for the first time, and remembers it. */
  boolean add(long number) {
    if (number <= processedThrough) {
      return false;
    }
    processedThrough = number;
    settled.put(number, false);
    return true;
  }

  /** The owner does not need the end any more. */
  void settle(long number) {
    if (number <= acknowledgedThrough) {
      return;
    }
    settled.put(number, true);
    while (!settled.isEmpty() && settled.firstEntry().getValue()) {
      acknowledgedThrough = settled.pollFirstEntry().getKey();
    }
  }

  /** Returns the number up to which the worker may forget ends. */
  long acknowledgedThrough() {
    return acknowledgedThrough;
  }

  /** Another process of the worker counts its ends anew. */
  void restart() {
    settled.clear();
    acknowledgedThrough = 0;
    processedThrough = 0;
  }
}
