package org.lovagerack.notes;

import java.util.List;

/**
 * Definitions that a release note adds or changes. A list that the note omits is empty.
 *
 * @param services service definitions
 * @param upstreams upstream definitions
 * @param teams team quotas
 */
public record ChangeSet(
    List<ServiceDefinition> services, List<UpstreamDefinition> upstreams, List<TeamQuota> teams) {

  public ChangeSet {
    services = List.copyOf(services);
    upstreams = List.copyOf(upstreams);
    teams = List.copyOf(teams);
  }

  /** Returns a change set without definitions. */
  public static ChangeSet empty() {
    return new ChangeSet(List.of(), List.of(), List.of());
  }
}
