package org.lovagerack.benchmarks.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** Processor time of threads, which other load on the machine changes little. */
final class ProcessorTime {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ProcessorTime() {}

  /** Returns the processor time that the calling thread needs for an action, ns. */
  static long of(Runnable action) {
    long before = THREADS.getCurrentThreadCpuTime();
    action.run();
    return THREADS.getCurrentThreadCpuTime() - before;
  }

  /** Returns the processor time of live threads since their start, ns. */
  static long of(List<Thread> threads) {
    return threads.stream()
        .mapToLong(thread -> Math.max(0, THREADS.getThreadCpuTime(thread.threadId())))
        .sum();
  }
}
