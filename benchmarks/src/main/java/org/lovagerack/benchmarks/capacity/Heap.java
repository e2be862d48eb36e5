package org.lovagerack.benchmarks.capacity;

/**
 * Heap in use after garbage collection. Needs {@code -XX:MarkSweepDeadRatio=0}: without it, serial
 * collection leaves up to 5 % of the heap uncollected.
 */
final class Heap {

  private Heap() {}

  /** Returns the bytes that are reachable; the second collection clears what the first enqueued. */
  static long usedBytes() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
