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
 * Writes log lines on a separate thread and never blocks the caller: lines are dropped and counted
 * if they exceed the rate limit or the queue is full because the output blocks.
 */
final class LineWriter {

  private static final int QUEUE_CAPACITY = 4096;

  /** Delay before a write, in which the lines of several events are collected. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(20);

  private final OutputStream output;
  private final LogRateLimiter rateLimiter;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread thread = new Thread(this::run, "log");
  private volatile boolean finishing;

  /** Creates a writer; {@link #start} starts its thread. */
  LineWriter(OutputStream output, LogRateLimiter rateLimiter) {
    this.output = output;
    this.rateLimiter = rateLimiter;
    thread.setDaemon(true);
  }

  /** Starts the thread of the writer. */
  void start() {
    thread.start();
  }

  /**
   * Returns whether a line may be written; counts it as dropped otherwise.
   *
   * @param important whether the line is exempt from the rate limit
   */
  boolean admits(boolean important) {
    boolean admitted = rateLimiter.tryAcquire() || important;
    if (!admitted) {
      dropped.incrementAndGet();
    }
    return admitted;
  }

  /** Queues a line, which ends with a line break; drops it if the queue is full. */
  void offer(String line) {
    if (!lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of dropped lines that have not been reported yet. */
  long dropped() {
    return dropped.get();
  }

  /** Writes the queued lines and stops the thread; waits no longer than {@code timeout}. */
  void finish(Duration timeout) {
    finishing = true;
    thread.interrupt();
    try {
      thread.join(timeout);
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
          Thread.sleep(BATCH_DELAY);
        } catch (InterruptedException e) {
          // finish() was called; the remaining lines are written below.
          finishing = true;
        }
        writeBatch(batch);
      }
      writeBatch(batch);
    } catch (IOException e) {
      System.err.println("cannot write to standard output; logging stops: " + e.getMessage());
    }
  }

  private void writeBatch(List<String> batch) throws IOException {
    lines.drainTo(batch);
    long droppedLines = dropped.getAndSet(0);
    StringBuilder text = new StringBuilder();
    batch.forEach(text::append);
    if (droppedLines > 0) {
      text.append("WARN event=\"")
          .append(LogEvent.LOG_LINES_DROPPED.number())
          .append("\" lines=\"")
          .append(droppedLines)
          .append("\" text=\"")
          .append(LogEvent.LOG_LINES_DROPPED.text())
          .append("\"\n");
    }
    batch.clear();
    output.write(text.toString().getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
