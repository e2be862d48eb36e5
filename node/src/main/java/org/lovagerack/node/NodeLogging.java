package org.lovagerack.node;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Configures the logs of an entry VM: the Log4j 2 API passes events to {@code java.util.logging},
 * whose classes are in the JDK's class data archive. Log4j 2 Core would load all its plugins at
 * each start.
 */
final class NodeLogging {

  /** System property that the JDK reads when its logging is first used. */
  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /**
   * The calls that use a connection report its failures, so the network libraries only log what
   * they cannot handle. Vert.x passes such errors to the exception handler of the context instead.
   */
  private static final Map<String, Level> LIBRARY_LEVELS =
      Map.of("io.vertx", Level.OFF, "io.netty", Level.SEVERE);

  /** Time limit for writing the remaining lines when the process ends. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(200);

  /** Strong references, because the JDK drops unreferenced loggers together with their levels. */
  private static final List<Logger> LIBRARY_LOGGERS;

  private static final LineWriter WRITER;

  static {
    System.setProperty(MANAGER_PROPERTY, ProcessLogManager.class.getName());
    WRITER =
        new LineWriter(
            new FileOutputStream(FileDescriptor.out), LogRateLimiter.ofEntryVm(System::nanoTime));
    Logger root = Logger.getLogger("");
    root.addHandler(new LineHandler(WRITER));
    root.setLevel(Level.INFO);
    LIBRARY_LOGGERS = LIBRARY_LEVELS.keySet().stream().map(Logger::getLogger).toList();
    LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(LIBRARY_LEVELS.get(logger.getName())));
  }

  private NodeLogging() {}

  /** Configures the logs; must be called before the first logger is created. */
  static void configure() {
    WRITER.start();
  }

  /** Writes the remaining lines and stops the writer. */
  static void finish() {
    WRITER.finish(FLUSH_TIMEOUT);
  }
}
