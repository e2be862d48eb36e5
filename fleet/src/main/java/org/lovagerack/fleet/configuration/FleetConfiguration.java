package org.lovagerack.fleet.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A whole configuration as the operator wrote it.
 *
 * @param version version, which grows with every change
 * @param queues queues
 * @param limits limits on callers' requests
 */
public record FleetConfiguration(long version, List<Queue> queues, RequestLimits limits) {

  public FleetConfiguration {
    queues = List.copyOf(queues);
  }

  /** Returns the queue whose prefix is the longest that {@code path} begins with. */
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

  /** Returns the queue of a name. */
  public Optional<Queue> queue(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }
}
