package org.lovagerack.fleet.shard;

import java.util.TreeMap;

/**
 * Results that a worker process lists in its reports until they are acknowledged. Results are
 * numbered, and an acknowledgement covers all numbers up to and including its own.
 */
final class UnacknowledgedResults {

  private final TreeMap<Long, Boolean> acknowledged = new TreeMap<>();
  private long acknowledgedThrough;
  private long highestAdded;

  /** Adds a result; returns false if it has been added before. */
  boolean add(long number) {
    if (number <= highestAdded) {
      return false;
    }
    highestAdded = number;
    acknowledged.put(number, false);
    return true;
  }

  /** Marks a result as no longer needed by the owner. */
  void acknowledge(long number) {
    if (number <= acknowledgedThrough) {
      return;
    }
    acknowledged.put(number, true);
    while (!acknowledged.isEmpty() && acknowledged.firstEntry().getValue()) {
      acknowledgedThrough = acknowledged.pollFirstEntry().getKey();
    }
  }

  /** Returns the number up to which the worker may discard results. */
  long acknowledgedThrough() {
    return acknowledgedThrough;
  }

  /** Clears all results because a new worker process restarts the numbering. */
  void reset() {
    acknowledged.clear();
    acknowledgedThrough = 0;
    highestAdded = 0;
  }
}
