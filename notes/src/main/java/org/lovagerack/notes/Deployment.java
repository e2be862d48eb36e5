package org.lovagerack.notes;

import java.util.Map;

/**
 * The state in force at one revision: the result of applying every release note up to it in order.
 *
 * @param revision number of notes applied; 0 is the empty deployment
 * @param services service definitions by name
 * @param upstreams upstream definitions by address
 * @param teams team quotas by name
 */
public record Deployment(
    long revision,
    Map<String, ServiceDefinition> services,
    Map<String, UpstreamDefinition> upstreams,
    Map<String, TeamQuota> teams) {

  public Deployment {
    services = Map.copyOf(services);
    upstreams = Map.copyOf(upstreams);
    teams = Map.copyOf(teams);
  }

  /** Returns the deployment before the first release note. */
  public static Deployment empty() {
    return new Deployment(0, Map.of(), Map.of(), Map.of());
  }
}
