package org.lovagerack.fleet.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Holds the configuration in force. A configuration with a lower version is ignored. */
public final class ConfigurationHolder {

  private static final EventLog LOG = new EventLog(ConfigurationHolder.class);

  private final List<Consumer<FleetConfiguration>> listeners = new ArrayList<>();
  private FleetConfiguration inForce;

  /** Adds a listener for later configurations. */
  public void addListener(Consumer<FleetConfiguration> listener) {
    listeners.add(listener);
  }

  /** Applies a configuration unless its version is not higher than the version in force. */
  public void offer(FleetConfiguration configuration) {
    if (inForce != null && configuration.version() <= inForce.version()) {
      return;
    }
    inForce = configuration;
    LOG.write(
        LogEvent.CONFIGURATION_APPLIED,
        "version",
        configuration.version(),
        "queues",
        configuration.queues().size());
    listeners.forEach(listener -> listener.accept(configuration));
  }

  /** Returns the configuration in force; empty before the first one. */
  public Optional<FleetConfiguration> inForce() {
    return Optional.ofNullable(inForce);
  }
}
