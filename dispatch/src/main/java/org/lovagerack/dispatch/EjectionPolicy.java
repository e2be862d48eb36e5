package org.lovagerack.dispatch;

import java.time.Duration;

/** Ejects upstreams that fail, has them probed after a back-off, and readmits them. */
final class EjectionPolicy {

  private static final double FAILURE_RATE = 0.5;
  private static final double MEDIAN_OF_OTHERS = 0.1;

  private final AlarmQueue alarms;
  private final Turn turn;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  EjectionPolicy(
      AlarmQueue alarms, Turn turn, DispatchSettings settings, DispatchObserver observer) {
    this.alarms = alarms;
    this.turn = turn;
    this.settings = settings;
    this.observer = observer;
  }

  /**
   * Notes a successful answer.
   *
   * @param closing whether the upstream announced that it closes the connection; one that closes
   *     all connections is stopping and is ejected before it refuses tasks
   */
  void succeeded(AttemptState attempt, boolean closing) {
    ServiceState service = attempt.task().service();
    UpstreamState upstream = attempt.upstream();
    UpstreamHealth health = upstream.health();
    health.succeeded();
    health.answered(closing);
    boolean probe = isCurrentProbe(attempt);
    if (probe && closing) {
      health.probeClosed();
    }
    if (health.announcesStop() && (probe || (health.accepting() && mayEjectAnother(service)))) {
      if (!upstream.withdrawn()) {
        observer.upstreamLeaving(upstream.address());
      }
      eject(service, upstream);
    } else if (probe) {
      readmit(service, upstream);
    }
  }

  void failed(AttemptState attempt) {
    ServiceState service = attempt.task().service();
    UpstreamState upstream = attempt.upstream();
    UpstreamHealth health = upstream.health();
    health.failed();
    if (isCurrentProbe(attempt)) {
      eject(service, upstream);
      return;
    }
    boolean bad =
        health.consecutiveFailures() >= settings.ejectAfter()
            || farWorseThanOthers(service, upstream);
    if (health.accepting() && bad && mayEjectAnother(service)) {
      eject(service, upstream);
    }
  }

  /** Readmits upstreams while more than half of those present are ejected. */
  void limitEjected(ServiceState service) {
    int ejected = service.pool().ejectedCount();
    int most = service.pool().presentCount() / 2;
    for (UpstreamState upstream : service.pool().members()) {
      if (ejected <= most) {
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

  private static boolean farWorseThanOthers(ServiceState service, UpstreamState upstream) {
    if (upstream.health().recentFailures() <= FAILURE_RATE * UpstreamHealth.WINDOW) {
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
    int below = 0;
    for (int failures = 0; failures < MEDIAN_OF_OTHERS * UpstreamHealth.WINDOW; failures++) {
      below += countsByFailures[failures];
    }
    return 2 * below > others;
  }

  private void eject(ServiceState service, UpstreamState upstream) {
    int ejections = upstream.health().eject();
    long longest = settings.longestEjection().toNanos();
    long period = settings.firstEjection().toNanos();
    for (int i = 1; i < ejections && period < longest; i++) {
      period *= 2;
    }
    Duration ejected = Duration.ofNanos(Math.min(period, longest));
    alarms.cancel(upstream.probeAlarm());
    upstream.setProbeAlarm(
        alarms.after(ejected, () -> turn.run(() -> probeDue(service, upstream))));
    service.pool().update(upstream);
    if (!upstream.withdrawn()) {
      observer.upstreamEjected(service.name(), upstream.address(), ejected);
    }
  }

  private void probeDue(ServiceState service, UpstreamState upstream) {
    upstream.health().probeDue();
    service.pool().update(upstream);
    turn.changed(service);
  }

  private void readmit(ServiceState service, UpstreamState upstream) {
    alarms.cancel(upstream.probeAlarm());
    upstream.health().readmit();
    service.pool().update(upstream);
    observer.upstreamReadmitted(service.name(), upstream.address());
    turn.changed(service);
  }
}
