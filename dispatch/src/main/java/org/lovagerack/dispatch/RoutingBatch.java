package org.lovagerack.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Defers routing to the end of the outermost entry into the dispatcher, which is a method call, a
 * timer callback or a transport result. Each service whose queue or upstreams changed is then
 * routed once on consistent state, even if a listener calls back into the dispatcher.
 */
final class RoutingBatch {

  private final Consumer<ServiceState> route;
  private final Set<ServiceState> changed = new LinkedHashSet<>();
  private int depth;

  RoutingBatch(Consumer<ServiceState> route) {
    this.route = route;
  }

  /** Runs an action; the outermost call then routes the services that changed. */
  void run(Runnable action) {
    depth++;
    try {
      action.run();
      if (depth == 1) {
        routeChanged();
      }
    } finally {
      depth--;
    }
  }

  /** Schedules routing of a service for the end of the outermost call of {@link #run}. */
  void markChanged(ServiceState service) {
    changed.add(service);
  }

  private void routeChanged() {
    while (!changed.isEmpty()) {
      ServiceState service = changed.iterator().next();
      changed.remove(service);
      route.accept(service);
    }
  }
}
