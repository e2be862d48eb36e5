package org.lovagerack.foundation.event;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes numbered events with Log4j 2, as map messages that JSON layouts render as fields. */
public final class EventLog {

  private final Logger logger;

  /** Creates an event log whose logger has the name of {@code source}. */
  public EventLog(Class<?> source) {
    this.logger = LogManager.getLogger(source);
  }

  /**
   * Writes one event.
   *
   * @param event the event
   * @param details alternating names and values; values are written with {@code String.valueOf}
   * @throws IllegalArgumentException if a name has no value
   */
  public void write(LogEvent event, Object... details) {
    EventCounts.increment(event);
    Level level = level(event.severity());
    if (!logger.isEnabled(level)) {
      return;
    }
    logger.log(level, message(event, details));
  }

  /** Writes one event together with the error that caused it. */
  public void write(LogEvent event, Throwable cause, Object... details) {
    EventCounts.increment(event);
    Level level = level(event.severity());
    if (!logger.isEnabled(level)) {
      return;
    }
    logger.log(level, message(event, details), cause);
  }

  private static StringMapMessage message(LogEvent event, Object... details) {
    if (details.length % 2 != 0) {
      throw new IllegalArgumentException("event " + event + " has a detail without a value");
    }
    StringMapMessage message = new StringMapMessage();
    message.put("event", Integer.toString(event.number()));
    message.put("text", event.text());
    for (int i = 0; i < details.length; i += 2) {
      message.put(String.valueOf(details[i]), String.valueOf(details[i + 1]));
    }
    return message;
  }

  private static Level level(LogEvent.Severity severity) {
    return switch (severity) {
      case DEBUG -> Level.DEBUG;
      case INFO -> Level.INFO;
      case WARN -> Level.WARN;
      case ERROR -> Level.ERROR;
    };
  }
}
