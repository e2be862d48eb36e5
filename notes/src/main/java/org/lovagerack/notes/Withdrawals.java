package org.lovagerack.notes;

import java.util.List;

/**
 * Names that a release note withdraws. A list that the note omits is empty.
 *
 * @param services names of services
 * @param upstreams addresses of upstreams
 * @param teams names of teams
 */
public record Withdrawals(List<String> services, List<String> upstreams, List<String> teams) {

  public Withdrawals {
    services = List.copyOf(services);
    upstreams = List.copyOf(upstreams);
    teams = List.copyOf(teams);
  }

  /** Returns an instance without withdrawals. */
  public static Withdrawals none() {
    return new Withdrawals(List.of(), List.of(), List.of());
  }
}
