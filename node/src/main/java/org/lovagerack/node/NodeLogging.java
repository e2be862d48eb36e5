package org.lovagerack.node;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.filter.BurstFilter;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.core.util.Throwables;

/**
 * The logs of an entry VM, configured without a file: reading one, and finding the plugins that it
 * names, took more than half of the processor time of a start.
 */
final class NodeLogging extends AbstractConfiguration {

  private static final String CONSOLE = "console";

  /** Lines that wait for the console; more are dropped rather than block the event loop. */
  private static final int QUEUED_LINES = 4096;

  /** Bounds the lines up to INFO under load, lines a second; six per task at 250 tasks a second. */
  private static final float LINES_PER_SECOND = 1500;

  private static final long MOST_LINES_AT_ONCE = 6000;

  private NodeLogging() {
    super(null, ConfigurationSource.NULL_SOURCE);
    // The planned stop writes its last events itself.
    isShutdownHookEnabled = false;
  }

  /** Configures the logs; must come before the first logger. */
  static void configure() {
    Configurator.initialize(new NodeLogging());
  }

  /** Sets up what a configuration file would name. */
  @Override
  public void initialize() {
    // The builder of the console appender reads annotations to check itself, which costs a start
    // 30 ms of processor.
    OutputStreamAppender console =
        OutputStreamAppender.createAppender(
            new EventLayout(), null, System.out, CONSOLE, false, true);
    addAppender(console);
    AsyncAppender log =
        AsyncAppender.newBuilder()
            .setName("log")
            .setBufferSize(QUEUED_LINES)
            .setBlocking(false)
            .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
            .setConfiguration(this)
            .build();
    log.addFilter(
        BurstFilter.newBuilder()
            .setLevel(Level.INFO)
            .setRate(LINES_PER_SECOND)
            .setMaxBurst(MOST_LINES_AT_ONCE)
            .build());
    addAppender(log);
    getRootLogger().setLevel(Level.INFO);
    getRootLogger().addAppender(log, null, null);
    // Each failure of a connection is reported by the call that it breaks.
    addLogger("io.vertx", new LoggerConfig("io.vertx", Level.FATAL, true));
    addLogger("io.netty", new LoggerConfig("io.netty", Level.ERROR, true));
    setState(State.INITIALIZED);
  }

  /** One line an event: time of day, severity, and the event's fields. */
  private static final class EventLayout extends AbstractStringLayout {

    private static final DateTimeFormatter TIME =
        DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneId.systemDefault());

    private static final int SEVERITY_WIDTH = 5;

    EventLayout() {
      super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
      StringBuilder line = getStringBuilder();
      TIME.formatTo(Instant.ofEpochMilli(event.getTimeMillis()), line);
      String severity = event.getLevel().name();
      line.append(' ').append(severity);
      for (int column = severity.length(); column < SEVERITY_WIDTH; column++) {
        line.append(' ');
      }
      line.append(' ').append(event.getMessage().getFormattedMessage()).append('\n');
      if (event.getThrown() != null) {
        Throwables.toStringList(event.getThrown())
            .forEach(traceLine -> line.append(traceLine).append('\n'));
      }
      return line.toString();
    }
  }
}
