package org.lovagerack.foundation.event;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the events that this process has written, also those that the log level hides. */
public final class EventCounts {

  private static final Map<LogEvent, LongAdder> COUNTS = new EnumMap<>(LogEvent.class);

  static {
    for (LogEvent event : LogEvent.values()) {
      COUNTS.put(event, new LongAdder());
    }
  }

  private EventCounts() {}

  static void increment(LogEvent event) {
    COUNTS.get(event).increment();
  }

  /** Returns how often an event was written. */
  public static long of(LogEvent event) {
    return COUNTS.get(event).sum();
  }
}
