package org.lovagerack.benchmarks.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** Measures processor time of threads, which depends little on other load on the machine. */
final class ProcessorTime {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ProcessorTime() {}

  /** Returns the processor time of an action on the calling thread, in nanoseconds. */
  static long of(Runnable action) {
    long before = THREADS.getCurrentThreadCpuTime();
    action.run();
    return THREADS.getCurrentThreadCpuTime() - before;
  }

  /** Returns the total processor time of live threads since their start, in nanoseconds. */
  static long of(List<Thread> threads) {
    return threads.stream()
        .mapToLong(thread -> Math.max(0, THREADS.getThreadCpuTime(thread.threadId())))
        .sum();
  }
}
