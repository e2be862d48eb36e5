package org.lovagerack.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Guards against a log that blocks its callers, grows without bound, or loses its last lines. */
final class LineWriterTest {

  /** Timeout of a test that hangs. */
  private static final Duration FINISH_TIMEOUT = Duration.ofMinutes(1);

  private long nanos;

  @Test
  void finishWritesAllLinesInOrder() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    LineWriter writer = new LineWriter(output, new LogRateLimiter(() -> nanos, 1, 100));
    LineHandler handler = new LineHandler(writer);
    writer.start();
    handler.publish(event(Level.INFO, "event=\"1001\""));
    handler.publish(event(Level.WARNING, "event=\"3104\""));
    writer.finish(FINISH_TIMEOUT);

    assertThat(output.toString(StandardCharsets.UTF_8))
        .isEqualTo("01:02:03.004 INFO  event=\"1001\"\n01:02:03.004 WARN  event=\"3104\"\n");
  }

  @Test
  void linesOverTheRateLimitAreDroppedButWarningsAreWritten() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    LineWriter writer = new LineWriter(output, new LogRateLimiter(() -> nanos, 1, 1));
    LineHandler handler = new LineHandler(writer);
    handler.publish(event(Level.INFO, "first"));
    handler.publish(event(Level.INFO, "second"));
    handler.publish(event(Level.WARNING, "third"));
    nanos += Duration.ofSeconds(1).toNanos();
    handler.publish(event(Level.INFO, "fourth"));
    writer.start();
    writer.finish(FINISH_TIMEOUT);

    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("first", "third", "fourth", "event=\"1008\" lines=\"1\"")
        .doesNotContain("second");
  }

  @Test
  void blockedOutputDoesNotBlockCallers() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch reached = new CountDownLatch(1);
    OutputStream output =
        new OutputStream() {
          @Override
          public void write(int value) {
            reached.countDown();
            try {
              blocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    LineWriter writer = new LineWriter(output, new LogRateLimiter(() -> nanos, 1, 1_000_000));
    LineHandler handler = new LineHandler(writer);
    writer.start();
    handler.publish(event(Level.INFO, "taken by the writer"));
    reached.await();
    for (int line = 0; line < 10_000; line++) {
      handler.publish(event(Level.INFO, "line"));
    }

    assertThat(writer.dropped()).isPositive();
    blocked.countDown();
  }

  private static LogRecord event(Level level, String message) {
    LogRecord event = new LogRecord(level, message);
    event.setInstant(Instant.parse("2026-12-04T01:02:03.004Z"));
    return event;
  }
}
