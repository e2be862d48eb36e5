package org.lovagerack.notes;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/** Definitions and notes for tests. */
final class Samples {

  private Samples() {}

  static ServiceDefinition service(String name) {
    return new ServiceDefinition(
        name, "/run", 0.25, 0.1, 3, 1000, Duration.ofSeconds(5), Set.of(429, 503), 0.99);
  }

  static UpstreamDefinition upstream(int number, int slots) {
    return new UpstreamDefinition(address(number), "riser", "nordvik-1", slots, 64);
  }

  static String address(int number) {
    return "10." + (number >> 16 & 255) + "." + (number >> 8 & 255) + "." + (number & 255) + ":80";
  }

  static ReleaseNote adding(
      String id, long base, List<ServiceDefinition> services, UpstreamDefinition... upstreams) {
    ChangeSet added = new ChangeSet(services, List.of(upstreams), List.of());
    return new ReleaseNote(id, base, added, ChangeSet.empty(), Withdrawals.none());
  }

  static ReleaseNote changing(String id, long base, UpstreamDefinition... upstreams) {
    ChangeSet changed = new ChangeSet(List.of(), List.of(upstreams), List.of());
    return new ReleaseNote(id, base, ChangeSet.empty(), changed, Withdrawals.none());
  }

  static ReleaseNote withdrawing(
      String id, long base, List<String> services, List<String> upstreams) {
    Withdrawals withdrawn = new Withdrawals(services, upstreams, List.of());
    return new ReleaseNote(id, base, ChangeSet.empty(), ChangeSet.empty(), withdrawn);
  }

  /** Returns a note that can be applied to a deployment; {@code choice} selects the upstream. */
  static ReleaseNote next(String id, Deployment deployment, int choice) {
    long base = deployment.revision();
    if (!deployment.services().containsKey("riser")) {
      return adding(id, base, List.of(service("riser")), upstream(choice, 8));
    }
    boolean exists = deployment.upstreams().containsKey(address(choice));
    if (!exists) {
      return adding(id, base, List.of(), upstream(choice, 8));
    }
    return base % 2 == 0
        ? changing(id, base, upstream(choice, (int) (base % 100) + 1))
        : withdrawing(id, base, List.of(), List.of(address(choice)));
  }
}
