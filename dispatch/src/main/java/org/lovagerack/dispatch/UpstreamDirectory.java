package org.lovagerack.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.ServiceDefinition;
import org.lovagerack.notes.UpstreamDefinition;

/** The services and upstreams of the current deployment, and which upstreams are leaving. */
final class UpstreamDirectory {

  private static final double MAX_RANK_OFFSET = 0.15;

  private final UpstreamTransport transport;
  private final RandomGenerator random;
  private final DispatchSettings settings;
  private final Map<String, ServiceState> services = new HashMap<>();
  private final Map<String, Member> upstreams = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private int liveEntryVms = 1;
  private int nextIndex;
  private boolean deployed;

  UpstreamDirectory(
      UpstreamTransport transport, RandomGenerator random, DispatchSettings settings) {
    this.transport = transport;
    this.random = random;
    this.settings = settings;
  }

  boolean deployed() {
    return deployed;
  }

  /** Returns a service of the current deployment, or null. */
  ServiceState service(String name) {
    return services.get(name);
  }

  Collection<ServiceState> services() {
    return services.values();
  }

  /** Returns an upstream, including a withdrawn one with attempts in flight, or null. */
  UpstreamState upstream(String address) {
    Member member = upstreams.get(address);
    return member == null ? null : member.upstream;
  }

  /** Returns the service of an upstream, or null if the upstream is not known. */
  ServiceState serviceOf(String address) {
    Member member = upstreams.get(address);
    return member == null ? null : member.service;
  }

  /**
   * Applies a deployment.
   *
   * @return the services that are no longer deployed
   */
  List<ServiceState> deploy(Deployment deployment, PeerLoads peerLoads) {
    List<ServiceState> withdrawn = new ArrayList<>();
    for (ServiceState service : List.copyOf(services.values())) {
      if (!deployment.services().containsKey(service.name())) {
        service.withdraw();
        services.remove(service.name());
        withdrawn.add(service);
      }
    }
    for (ServiceDefinition definition : deployment.services().values()) {
      ServiceState service = services.get(definition.name());
      if (service == null) {
        services.put(definition.name(), new ServiceState(definition, settings));
      } else {
        service.define(definition);
      }
    }
    for (String address : List.copyOf(upstreams.keySet())) {
      if (!isUsed(deployment.upstreams().get(address))) {
        withdraw(upstreams.get(address));
      }
    }
    // Sorted, because the order of upstreams with equal rank must not depend on hash codes.
    for (UpstreamDefinition definition : new TreeMap<>(deployment.upstreams()).values()) {
      if (isUsed(definition)) {
        define(definition, peerLoads.inFlight(definition.address()));
      }
    }
    deployed = true;
    leaving.retainAll(upstreams.keySet());
    return withdrawn;
  }

  /** Marks an upstream as leaving; returns false if nothing changed. */
  boolean markLeaving(String address) {
    if (deployed && !upstreams.containsKey(address)) {
      // A note that adds the upstream later takes precedence over the earlier report.
      return false;
    }
    if (!leaving.add(address)) {
      return false;
    }
    setLeaving(address, true);
    return true;
  }

  void markLive(String address) {
    if (leaving.remove(address)) {
      setLeaving(address, false);
    }
  }

  void setLiveEntryVms(int count) {
    liveEntryVms = count;
    for (Member member : upstreams.values()) {
      member.upstream.setLiveEntryVms(count);
      member.service.pool().update(member.upstream);
      limitConnections(member.upstream);
    }
  }

  /** Removes withdrawn upstreams without attempts in flight and closes their connections. */
  void dropWithdrawn() {
    upstreams
        .values()
        .removeIf(
            member -> {
              boolean drop = member.upstream.withdrawn() && member.upstream.ownInFlight() == 0;
              if (drop) {
                transport.limitConnections(member.upstream.address(), 0);
              }
              return drop;
            });
  }

  Collection<UpstreamState> all() {
    return upstreams.values().stream().map(member -> member.upstream).toList();
  }

  private boolean isUsed(UpstreamDefinition definition) {
    return definition != null
        && services.containsKey(definition.service())
        && (settings.failureDomain().isEmpty()
            || settings.failureDomain().equals(definition.failureDomain()));
  }

  private void define(UpstreamDefinition definition, int peerInFlight) {
    ServiceState service = services.get(definition.service());
    Member member = upstreams.get(definition.address());
    if (member != null && member.service != service) {
      withdraw(member);
      member = null;
    }
    if (member == null) {
      double offset = (2 * random.nextDouble() - 1) * MAX_RANK_OFFSET;
      UpstreamState upstream =
          new UpstreamState(nextIndex++, definition, service.pool().meanLogTimePerUnit(), offset);
      member = new Member(upstream, service);
      upstreams.put(definition.address(), member);
      if (deployed) {
        leaving.remove(definition.address());
      }
    } else if (member.upstream.withdrawn() || !member.upstream.definition().equals(definition)) {
      leaving.remove(definition.address());
    } else {
      return;
    }
    UpstreamState upstream = member.upstream;
    upstream.define(definition);
    upstream.setLeaving(leaving.contains(definition.address()));
    upstream.setPeerInFlight(peerInFlight);
    upstream.setLiveEntryVms(liveEntryVms);
    service.pool().add(upstream);
    limitConnections(upstream);
  }

  private void withdraw(Member member) {
    member.upstream.withdraw();
    member.service.pool().remove(member.upstream);
    leaving.remove(member.upstream.address());
  }

  private void setLeaving(String address, boolean value) {
    Member member = upstreams.get(address);
    if (member != null) {
      member.upstream.setLeaving(value);
      member.service.pool().invalidateFastest();
      member.service.pool().update(member.upstream);
    }
  }

  private void limitConnections(UpstreamState upstream) {
    transport.limitConnections(upstream.address(), upstream.connectionLimit());
  }

  private static final class Member {
    private final UpstreamState upstream;
    private final ServiceState service;

    private Member(UpstreamState upstream, ServiceState service) {
      this.upstream = upstream;
      this.service = service;
    }
  }
}
