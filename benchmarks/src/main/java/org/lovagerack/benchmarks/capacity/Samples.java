package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.notes.ChangeSet;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ReleaseNote;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.TeamQuota;
import org.lovagerack.notes.UpstreamDefinition;
import org.lovagerack.notes.Withdrawals;

/** Creates definitions, notes and deployments of given sizes. */
final class Samples {

  static final String SERVICE = "service-0";
  static final int FAILURE_DOMAINS = 33;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final int MAX_QUEUED_TASKS = 10_000_000;
  private static final Duration MAX_RUN_TIME = Duration.ofMinutes(1);

  private Samples() {}

  /** Returns a deployment of one service with upstreams in all failure domains. */
  static Deployment deployment(long revision, int upstreams, int teams) {
    return new Deployment(
        revision, Map.of(SERVICE, service()), upstreams(upstreams, SLOTS), teams(teams));
  }

  /** Returns a deployment of one service, for the dispatcher of one failure domain. */
  static Deployment singleDomain(int upstreams, int slots, int teams) {
    return new Deployment(1, Map.of(SERVICE, service()), upstreams(upstreams, slots), teams(teams));
  }

  /** Returns a note that changes one upstream. */
  static ReleaseNote upstreamChange(long baseRevision, int upstream) {
    UpstreamDefinition changed =
        upstream(upstream, SLOTS + 1 + (int) (baseRevision & 1), CONNECTIONS);
    return new ReleaseNote(
        "note-" + baseRevision,
        baseRevision,
        ChangeSet.empty(),
        new ChangeSet(List.of(), List.of(changed), List.of()),
        Withdrawals.none());
  }

  static String address(int number) {
    return "10."
        + (number >> 16 & 255)
        + "."
        + (number >> 8 & 255)
        + "."
        + (number & 255)
        + ":8080";
  }

  static String team(int number) {
    return "team-" + number;
  }

  private static ServiceDefinition service() {
    return new ServiceDefinition(
        SERVICE, "/run", 0.5, 0.1, 3, MAX_QUEUED_TASKS, MAX_RUN_TIME, Set.of(503), 0.99);
  }

  private static Map<String, UpstreamDefinition> upstreams(int count, int slots) {
    Map<String, UpstreamDefinition> upstreams = new HashMap<>();
    for (int number = 0; number < count; number++) {
      upstreams.put(address(number), upstream(number, slots, CONNECTIONS));
    }
    return upstreams;
  }

  private static UpstreamDefinition upstream(int number, int slots, int connections) {
    String domain = "domain-" + number % FAILURE_DOMAINS;
    return new UpstreamDefinition(address(number), SERVICE, domain, slots, connections);
  }

  private static Map<String, TeamQuota> teams(int count) {
    Map<String, TeamQuota> teams = new HashMap<>();
    for (int number = 0; number < count; number++) {
      teams.put(team(number), new TeamQuota(team(number), 10_000_000, 10_000_000));
    }
    return teams;
  }
}
