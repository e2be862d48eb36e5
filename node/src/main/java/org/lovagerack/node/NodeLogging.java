package org.lovagerack.node;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The logs of an entry VM: events go through the interface of Log4j 2 to the logging of the JDK,
 * which is part of its archive of loaded classes. The core of Log4j 2 would load all its plugins at
 * each start.
 */
final class NodeLogging {

  /** Read by the JDK when its logging is used for the first time. */
  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /**
   * Each failure of a connection is reported by the call that it breaks, so the libraries below it
   * only report what they cannot handle; Vert.x hands that to the context's handler of errors.
   */
  private static final Map<String, Level> LIBRARIES =
      Map.of("io.vertx", Level.OFF, "io.netty", Level.SEVERE);

  /** Left for the last lines when the process ends. */
  private static final Duration LAST_LINES = Duration.ofMillis(200);

  /** Loggers are kept only as long as somebody refers to them, and their levels with them. */
  private static final List<Logger> LIBRARY_LOGGERS;

  private static final LineWriter WRITER;

  static {
    System.setProperty(MANAGER_PROPERTY, ProcessLogManager.class.getName());
    WRITER =
        new LineWriter(
            new FileOutputStream(FileDescriptor.out), LineBudget.ofProcess(System::nanoTime));
    Logger root = Logger.getLogger("");
    root.addHandler(new LineHandler(WRITER));
    root.setLevel(Level.INFO);
    LIBRARY_LOGGERS = LIBRARIES.keySet().stream().map(Logger::getLogger).toList();
    LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(LIBRARIES.get(logger.getName())));
  }

  private NodeLogging() {}

  /** Configures the logs; must come before the first logger. */
  static void configure() {
    WRITER.start();
  }

  /** Writes the last lines. */
  static void finish() {
    WRITER.finish(LAST_LINES);
  }
}
