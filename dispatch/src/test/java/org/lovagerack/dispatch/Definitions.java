package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lovagerack.foundation.data.Bytes;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.TeamQuota;
import org.lovagerack.notes.UpstreamDefinition;

/** Service definitions, deployments and tasks for tests. */
final class Definitions {

  static final String SERVICE = "closures";
  static final int NOT_STARTED = 503;
  static final ServiceDefinition DEFINITION = service(0.5);

  private Definitions() {}

  static ServiceDefinition service(double messageWeight) {
    return service(messageWeight, 2);
  }

  static ServiceDefinition service(double messageWeight, int maxAttempts) {
    return new ServiceDefinition(
        SERVICE,
        "/run",
        messageWeight,
        0.1,
        maxAttempts,
        200,
        Duration.ofSeconds(4),
        Set.of(NOT_STARTED),
        1);
  }

  static UpstreamDefinition upstream(String address, int slots) {
    return new UpstreamDefinition(address, SERVICE, "east", slots, 2 * slots);
  }

  static Deployment deployment(ServiceDefinition service, UpstreamDefinition... upstreams) {
    return deployment(service, Set.of(upstreams));
  }

  static Deployment deployment(
      ServiceDefinition service, Collection<UpstreamDefinition> upstreams) {
    return new Deployment(
        1,
        Map.of(service.name(), service),
        upstreams.stream()
            .collect(Collectors.toMap(UpstreamDefinition::address, Function.identity())),
        Map.of("limited", new TeamQuota("limited", 3, 100)));
  }

  static TaskSpec task(String key, boolean urgent, boolean repeatable, long deadlineNanos) {
    return task(key, urgent, repeatable, deadlineNanos, Duration.ofMillis(100));
  }

  static TaskSpec task(
      String key, boolean urgent, boolean repeatable, long deadlineNanos, Duration declared) {
    return new TaskSpec(
        key,
        SERVICE,
        "bulletin",
        "team",
        urgent,
        repeatable,
        declared,
        deadlineNanos,
        Bytes.ofText(key));
  }
}
