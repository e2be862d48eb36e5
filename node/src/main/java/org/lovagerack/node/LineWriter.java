package org.lovagerack.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Writes lines on a thread of its own. Nobody who has a line to write waits: lines beyond the
 * budget, or that find the queue full because the output blocks, are dropped and counted.
 */
final class LineWriter {

  private static final int QUEUED_LINES = 4096;

  /** Gathers the lines of several events into one write. */
  private static final Duration GATHERING = Duration.ofMillis(20);

  private final OutputStream output;
  private final LineBudget budget;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread thread = new Thread(this::run, "log");
  private volatile boolean finishing;

  /** Creates a writer that has not started. */
  LineWriter(OutputStream output, LineBudget budget) {
    this.output = output;
    this.budget = budget;
    thread.setDaemon(true);
  }

  /** Begins to write. */
  void start() {
    thread.start();
  }

  /**
   * Returns whether a line is to be written.
   *
   * @param important whether it is written beyond the budget, too
   */
  boolean admits(boolean important) {
    boolean admitted = budget.take() || important;
    if (!admitted) {
      dropped.incrementAndGet();
    }
    return admitted;
  }

  /** Adds a line with its end; drops it if too many wait. */
  void offer(String line) {
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of lines that were dropped and not reported yet. */
  long dropped() {
    return dropped.get();
  }

  /** Writes what waits, for some time at most. */
  void finish(Duration longest) {
    finishing = true;
    thread.interrupt();
    try {
      thread.join(longest);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<String> batch = new ArrayList<>();
    try {
      while (!finishing) {
        try {
          batch.add(lines.take());
          Thread.sleep(GATHERING);
        } catch (InterruptedException e) {
          // The process ends; the rest is written below.
          finishing = true;
        }
        write(batch);
      }
      write(batch);
    } catch (IOException e) {
      System.err.println("standard output cannot be written, the log ends: " + e.getMessage());
    }
  }

  private void write(List<String> batch) throws IOException {
    lines.drainTo(batch);
    long lost = dropped.getAndSet(0);
    StringBuilder text = new StringBuilder();
    batch.forEach(text::append);
    if (lost > 0) {
      text.append("WARN event=\"")
          .append(LogEvent.LOG_LINES_DROPPED.number())
          .append("\" lines=\"")
          .append(lost)
          .append("\" text=\"")
          .append(LogEvent.LOG_LINES_DROPPED.text())
          .append("\"\n");
    }
    batch.clear();
    output.write(text.toString().getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
