package org.lovagerack.fleet.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Configuration of a fleet as written by the operator.
 *
 * @param version version, which increases with every change
 * @param queues queues
 * @param limits limits on callers' requests
 */
public record FleetConfiguration(long version, List<Queue> queues, RequestLimits limits) {

  public FleetConfiguration {
    queues = List.copyOf(queues);
  }

  /** Returns the queue of the host with the longest prefix that {@code path} starts with. */
  public Optional<Queue> route(String host, String path) {
    Queue best = null;
    for (Queue queue : queues) {
      if (queue.host().equalsIgnoreCase(host)
          && path.startsWith(queue.prefix())
          && (best == null || queue.prefix().length() > best.prefix().length())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the queue with a name. */
  public Optional<Queue> queue(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }
}
