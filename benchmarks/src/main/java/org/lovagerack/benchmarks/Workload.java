package org.lovagerack.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.TeamQuota;
import org.lovagerack.notes.UpstreamDefinition;

/**
 * Entry VMs, upstreams and request kinds of one user in one failure domain.
 *
 * @param user name of the user and of its service
 * @param entryVms number of entry VMs
 * @param speeds speed of each upstream
 * @param kinds request kinds
 */
record Workload(String user, int entryVms, List<Double> speeds, List<KindProfile> kinds) {

  static final String TEAM = "team";
  static final int SLOTS = 8;
  static final int CONNECTIONS = 64;

  /** Speed for which run times are given; upstream speeds range from 1 to 4. */
  static final double REFERENCE_SPEED = 2;

  static final Duration CALLER_LATENCY = Duration.ofMillis(1);
  static final Duration UPSTREAM_LATENCY = Duration.ofNanos(250_000);
  static final Duration PEER_LATENCY = Duration.ofNanos(250_000);

  Workload {
    speeds = List.copyOf(speeds);
    kinds = List.copyOf(kinds);
  }

  static Workload halvorsen() {
    return new Workload(
        "halvorsen",
        2,
        evenSpeeds(8),
        List.of(
            kind("section-swap", true, true, 1, 1, 60, 100, 2_000, 0.4),
            kind("riser-layout", true, false, 20, 150, 100, 1_000, 15_000, 0.35),
            kind("soloist-check", true, true, 1, 1, 150, 250, 3_000, 0.25)));
  }

  static Workload maracas() {
    return new Workload(
        "maracas",
        3,
        evenSpeeds(10),
        List.of(
            kind("parent-alert", false, false, 50, 150, 50, 150, 10_000, 0.4),
            kind("closure-bulletin", false, false, 1, 1, 500, 4_000, 60_000, 0.3),
            kind("bus-cancellation", true, true, 1, 1, 200, 400, 3_000, 0.3)));
  }

  static List<Workload> all() {
    return List.of(halvorsen(), maracas());
  }

  static String address(int upstream) {
    return "10.0.0." + (upstream + 1) + ":8080";
  }

  static String vmName(int vm) {
    return "10.0.1." + (vm + 1) + ":7000";
  }

  /** Returns the work rate of all slots, in units of one slot at the reference speed. */
  double capacity() {
    return speeds.stream().mapToDouble(speed -> speed * SLOTS / REFERENCE_SPEED).sum();
  }

  double fastest() {
    return speeds.stream().mapToDouble(speed -> speed / REFERENCE_SPEED).max().orElseThrow();
  }

  Deployment deployment(double messageWeight) {
    ServiceDefinition service =
        new ServiceDefinition(
            user, "/run", messageWeight, 0.1, 3, 100_000, Duration.ofMinutes(2), Set.of(503), 0.99);
    Map<String, UpstreamDefinition> upstreams = new HashMap<>();
    for (int i = 0; i < speeds.size(); i++) {
      String address = address(i);
      upstreams.put(address, new UpstreamDefinition(address, user, "fd", SLOTS, CONNECTIONS));
    }
    return new Deployment(
        1,
        Map.of(user, service),
        upstreams,
        Map.of(TEAM, new TeamQuota(TEAM, 1_000_000, 1_000_000)));
  }

  private static List<Double> evenSpeeds(int count) {
    List<Double> speeds = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      speeds.add(1 + 3.0 * i / (count - 1));
    }
    return speeds;
  }

  private static KindProfile kind(
      String name,
      boolean urgent,
      boolean repeatable,
      int minTasks,
      int maxTasks,
      long minRunMillis,
      long maxRunMillis,
      long deadlineMillis,
      double workShare) {
    return new KindProfile(
        name,
        urgent,
        repeatable,
        minTasks,
        maxTasks,
        Duration.ofMillis(minRunMillis),
        Duration.ofMillis(maxRunMillis),
        Duration.ofMillis(deadlineMillis),
        workShare);
  }
}
