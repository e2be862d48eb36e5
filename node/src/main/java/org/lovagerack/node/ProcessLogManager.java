package org.lovagerack.node;

import java.util.logging.LogManager;

/**
 * Keeps the JDK from reading a configuration of its logging, and from ending it when the process
 * begins to stop.
 */
public final class ProcessLogManager extends LogManager {

  /** Creates the manager; called by the JDK. */
  public ProcessLogManager() {}

  /** Leaves the configuration to {@link NodeLogging}. */
  @Override
  public void readConfiguration() {
    // There is no file to read.
  }

  /** Leaves the end of the log to {@link NodeLogging#finish}. */
  @Override
  public void reset() {
    // The planned stop writes events after the JDK would end its logging.
  }
}
