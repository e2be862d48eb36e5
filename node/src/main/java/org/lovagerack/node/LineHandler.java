package org.lovagerack.node;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Formats each event as one line: time of day in UTC, severity, and the event's fields. */
final class LineHandler extends Handler {

  private static final long MILLIS_PER_DAY = 86_400_000;

  private final LineWriter writer;

  LineHandler(LineWriter writer) {
    this.writer = writer;
  }

  @Override
  public void publish(LogRecord event) {
    if (!writer.admits(event.getLevel().intValue() > Level.INFO.intValue())) {
      return;
    }
    StringBuilder line = new StringBuilder(200);
    appendTime(line, event.getMillis());
    line.append(severity(event.getLevel())).append(event.getMessage()).append('\n');
    if (event.getThrown() != null) {
      StringWriter trace = new StringWriter();
      event.getThrown().printStackTrace(new PrintWriter(trace));
      line.append(trace);
    }
    writer.offer(line.toString());
  }

  private static void appendTime(StringBuilder line, long unixMillis) {
    long millis = Math.floorMod(unixMillis, MILLIS_PER_DAY);
    appendDigits(line, millis / 3_600_000, 2);
    line.append(':');
    appendDigits(line, millis / 60_000 % 60, 2);
    line.append(':');
    appendDigits(line, millis / 1000 % 60, 2);
    line.append('.');
    appendDigits(line, millis % 1000, 3);
  }

  private static void appendDigits(StringBuilder line, long number, int width) {
    String digits = Long.toString(number);
    for (int column = digits.length(); column < width; column++) {
      line.append('0');
    }
    line.append(digits);
  }

  private static String severity(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return " ERROR ";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return " WARN  ";
    }
    return level.intValue() >= Level.INFO.intValue() ? " INFO  " : " DEBUG ";
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  @Override
  public void close() {
    // NodeLogging.finish() stops the writer.
  }
}
