package org.lovagerack.node;

import java.util.logging.LogManager;

/**
 * Log manager that reads no configuration file, and that keeps logging enabled while the process
 * shuts down.
 */
public final class ProcessLogManager extends LogManager {

  /** Creates the manager; called by the JDK. */
  public ProcessLogManager() {}

  /** Does nothing; {@link NodeLogging} configures the loggers. */
  @Override
  public void readConfiguration() {
    // There is no configuration file.
  }

  /** Does nothing; {@link NodeLogging#finish} ends the log. */
  @Override
  public void reset() {
    // The JDK calls this before the graceful shutdown has written its last events.
  }
}
