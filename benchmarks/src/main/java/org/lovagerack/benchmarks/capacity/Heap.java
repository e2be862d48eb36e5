package org.lovagerack.benchmarks.capacity;

/**
 * Measures the heap in use after garbage collection. Requires {@code -XX:MarkSweepDeadRatio=0},
 * because the serial collector otherwise leaves up to 5 % of the heap uncollected.
 */
final class Heap {

  private Heap() {}

  /** Returns the reachable bytes; the second collection frees objects enqueued by the first. */
  static long usedBytes() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
