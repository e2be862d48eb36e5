package org.lovagerack.dispatch;

import java.time.Duration;

/** Ejects failing upstreams, schedules probes after a backoff, and readmits upstreams. */
final class EjectionPolicy {

  private static final double OUTLIER_FAILURE_RATE = 0.5;
  private static final double HEALTHY_MEDIAN_FAILURE_RATE = 0.1;

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  EjectionPolicy(
      AlarmQueue alarms,
      RoutingBatch routing,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.routing = routing;
    this.settings = settings;
    this.observer = observer;
  }

  /**
   * Records a successful answer.
   *
   * @param closing whether the upstream announced that it will close the connection; an upstream
   *     that closes all connections is stopping and is ejected before it refuses tasks
   */
  void recordSuccess(AttemptState attempt, boolean closing) {
    ServiceState service = attempt.task().service();
    UpstreamState upstream = attempt.upstream();
    UpstreamHealth health = upstream.health();
    health.recordSuccess();
    health.recordAnswer(closing);
    boolean probe = isCurrentProbe(attempt);
    if (probe && closing) {
      health.recordClosingProbe();
    }
    if (health.closesAllConnections()
        && (probe || (health.accepting() && mayEjectAnother(service)))) {
      if (!upstream.withdrawn()) {
        observer.upstreamLeaving(upstream.address());
      }
      eject(service, upstream);
    } else if (probe) {
      readmit(service, upstream);
    }
  }

  /** Records a failed attempt and ejects the upstream if its failures exceed the limits. */
  void recordFailure(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    UpstreamState upstream = attempt.upstream();
    UpstreamHealth health = upstream.health();
    health.recordFailure();
    if (isCurrentProbe(attempt)) {
      eject(service, upstream);
      return;
    }
    boolean unhealthy =
        health.consecutiveFailures() >= settings.ejectAfter() || isOutlier(service, upstream);
    if (health.accepting() && unhealthy && mayEjectAnother(service)) {
      eject(service, upstream);
    }
  }

  /** Readmits upstreams until at most half of those present are ejected. */
  void limitEjected(ServiceState service) {
    int ejected = service.pool().ejectedCount();
    int maxEjected = service.pool().presentCount() / 2;
    for (UpstreamState upstream : service.pool().members()) {
      if (ejected <= maxEjected) {
        return;
      }
      if (upstream.present() && !upstream.health().accepting()) {
        readmit(service, upstream);
        ejected--;
      }
    }
  }

  private static boolean isCurrentProbe(AttemptState attempt) {
    return attempt.reason() == StartReason.PROBE
        && attempt.upstream().health().state() == UpstreamHealth.State.PROBING;
  }

  private static boolean mayEjectAnother(ServiceState service) {
    return 2 * (service.pool().ejectedCount() + 1) <= service.pool().presentCount();
  }

  /**
   * Returns whether an upstream fails most attempts while the median failure rate of the other
   * upstreams is low.
   */
  private static boolean isOutlier(ServiceState service, UpstreamState upstream) {
    if (upstream.health().recentFailures() <= OUTLIER_FAILURE_RATE * UpstreamHealth.WINDOW) {
      return false;
    }
    int[] countsByFailures = new int[UpstreamHealth.WINDOW + 1];
    int others = 0;
    for (UpstreamState other : service.pool().members()) {
      if (other != upstream && other.present()) {
        countsByFailures[other.health().recentFailures()]++;
        others++;
      }
    }
    int healthyOthers = 0;
    for (int failures = 0;
        failures < HEALTHY_MEDIAN_FAILURE_RATE * UpstreamHealth.WINDOW;
        failures++) {
      healthyOthers += countsByFailures[failures];
    }
    return 2 * healthyOthers > others;
  }

  private void eject(ServiceState service, UpstreamState upstream) {
    int ejections = upstream.health().eject();
    long maxNanos = settings.maxEjection().toNanos();
    long period = settings.firstEjection().toNanos();
    for (int i = 1; i < ejections && period < maxNanos; i++) {
      period *= 2;
    }
    Duration ejected = Duration.ofNanos(Math.min(period, maxNanos));
    alarms.cancel(upstream.probeAlarm());
    upstream.setProbeAlarm(
        alarms.after(ejected, () -> routing.run(() -> probeDue(service, upstream))));
    service.pool().update(upstream);
    if (!upstream.withdrawn()) {
      observer.upstreamEjected(service.name(), upstream.address(), ejected);
    }
  }

  private void probeDue(ServiceState service, UpstreamState upstream) {
    upstream.health().markProbeDue();
    service.pool().update(upstream);
    routing.markChanged(service);
  }

  private void readmit(ServiceState service, UpstreamState upstream) {
    alarms.cancel(upstream.probeAlarm());
    upstream.health().readmit();
    service.pool().update(upstream);
    observer.upstreamReadmitted(service.name(), upstream.address());
    routing.markChanged(service);
  }
}
