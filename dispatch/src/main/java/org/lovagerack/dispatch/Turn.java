package org.lovagerack.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One call from outside: a method call, a timer callback or a result of the transport. Services
 * whose queue or upstreams changed are routed once at the end, after all state is consistent, even
 * if a listener calls back into the dispatcher.
 */
final class Turn {

  private final Consumer<ServiceState> route;
  private final Set<ServiceState> changed = new LinkedHashSet<>();
  private int depth;

  Turn(Consumer<ServiceState> route) {
    this.route = route;
  }

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

  /** Has a service routed at the end of this turn. */
  void changed(ServiceState service) {
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
