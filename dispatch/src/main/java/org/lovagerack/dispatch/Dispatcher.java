package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.timer.TimerService;
import org.lovagerack.notes.Deployment;

/**
 * Runs tasks on the upstreams of their services. All calls, timer callbacks and transport results
 * must come from a single event loop. Submitted tasks are started by a timer callback with zero
 * delay, so that all tasks of a job are queued before the first one starts.
 */
public final class Dispatcher implements TaskDispatcher {

  private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
  private static final long UNUSED_UPSTREAM_NANOS = Duration.ofSeconds(10).toNanos();
  // Halves the distance between the estimate and the mean in about two minutes.
  private static final double REGRESSION_SHARE = 0.005;

  private final UpstreamTransport transport;
  private final DispatchSettings settings;
  private final DispatchObserver observer;
  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final StartSuspension suspension;
  private final TeamQuotas quotas = new TeamQuotas();
  private final UpstreamDirectory directory;
  private final PeerLoads peerLoads;
  private final EjectionPolicy ejection;
  private final TaskLifecycle lifecycle;
  private final Scheduler scheduler;
  private final AdmissionControl admission;
  private long nextOrder;

  /**
   * Creates a dispatcher without services until {@link #deploy} is called.
   *
   * @param timer the only source of time
   * @param transport sends the attempts
   * @param random source of the ranking offsets; seed it differently on every entry VM
   * @param settings dispatcher settings
   * @param observer receives metrics and log events
   */
  public Dispatcher(
      TimerService timer,
      UpstreamTransport transport,
      RandomGenerator random,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.transport = transport;
    this.settings = settings;
    this.observer = observer;
    this.alarms = new AlarmQueue(timer);
    this.routing = new RoutingBatch(this::route);
    this.suspension = new StartSuspension(alarms);
    this.directory = new UpstreamDirectory(transport, random, settings);
    this.peerLoads = new PeerLoads(alarms, routing, settings, new PeerChanges());
    this.ejection = new EjectionPolicy(alarms, routing, settings, observer);
    InFlightAttempts inFlight = new InFlightAttempts(alarms, routing, settings, observer);
    this.lifecycle = new TaskLifecycle(alarms, routing, inFlight, quotas, settings, observer);
    RetryPolicy retries = new RetryPolicy(alarms, settings, observer);
    AttemptRunner runner =
        new AttemptRunner(
            alarms,
            routing,
            transport,
            inFlight,
            lifecycle,
            ejection,
            retries,
            suspension,
            settings,
            observer);
    this.scheduler = new Scheduler(alarms, runner, lifecycle, suspension, settings);
    this.admission = new AdmissionControl(alarms, directory, quotas, settings, observer);
    timer.every(REFRESH_PERIOD, this::refresh);
  }

  @Override
  public Optional<Failure> admit(AdmissionRequest job) {
    return admission.admit(job);
  }

  @Override
  public TaskHandle submit(TaskSpec spec, TaskListener listener) {
    ServiceState service = directory.service(spec.service());
    if (service == null) {
      listener.onOutcome(
          new TaskOutcome.Failed(
              Failure.notRun(
                  ErrorKind.UNKNOWN_SERVICE, "service " + spec.service() + " is not in force")));
      return () -> {};
    }
    double work = service.kind(spec.kind()).meanWork(spec.declaredRunTime());
    TaskState task =
        new TaskState(spec, listener, service, nextOrder++, work, service.dueNanos(spec));
    routing.run(() -> lifecycle.accept(task));
    return () -> routing.run(() -> lifecycle.cancel(task));
  }

  /**
   * Applies a deployment. Attempts in flight on withdrawn upstreams continue; queued tasks of
   * withdrawn services fail.
   */
  public void deploy(Deployment deployment) {
    routing.run(
        () -> {
          quotas.define(deployment.teams());
          for (ServiceState withdrawn : directory.deploy(deployment, peerLoads)) {
            withdrawn.queue().all().forEach(lifecycle::failWithdrawn);
          }
          directory.dropWithdrawn();
          for (ServiceState service : directory.services()) {
            ejection.limitEjected(service);
            routing.markChanged(service);
          }
        });
  }

  /** Stops starting tasks on an upstream; its attempts in flight continue. */
  public void upstreamLeaving(String address) {
    routing.run(
        () -> {
          if (directory.markLeaving(address)) {
            observer.upstreamLeaving(address);
            upstreamPresenceChanged(address);
          }
        });
  }

  /** Resumes starting tasks on an upstream that was reported as leaving. */
  public void upstreamLive(String address) {
    routing.run(
        () -> {
          directory.markLive(address);
          upstreamPresenceChanged(address);
        });
  }

  /** Replaces the load report of another entry VM of the failure domain. */
  public void peerLoads(String peer, Map<String, Integer> inFlightByUpstream) {
    routing.run(() -> peerLoads.report(peer, inFlightByUpstream));
  }

  /** Discards the load report of an entry VM that has left. */
  public void peerLeft(String peer) {
    routing.run(() -> peerLoads.remove(peer));
  }

  /** Returns the number of slots that this entry VM uses by upstream address, without zeros. */
  public Map<String, Integer> inFlightByUpstream() {
    Map<String, Integer> counts = new TreeMap<>();
    for (UpstreamState upstream : directory.all()) {
      if (upstream.ownInFlight() > 0) {
        counts.put(upstream.address(), upstream.ownInFlight());
      }
    }
    return counts;
  }

  /** Returns the number of queued tasks. */
  public int queuedTasks() {
    int count = 0;
    for (ServiceState service : directory.services()) {
      count += service.queue().size();
    }
    return count;
  }

  /**
   * Suspends new attempts after a process pause, until {@link #resumeStarts} is called or the time
   * has elapsed. Queued tasks whose deadline passed during the pause fail immediately.
   *
   * @param maxDuration maximum duration of the suspension
   */
  public void suspendStarts(Duration maxDuration) {
    routing.run(
        () -> {
          suspension.suspendUntil(alarms.now() + maxDuration.toNanos());
          observer.startsSuspended(maxDuration);
          for (ServiceState service : directory.services()) {
            for (TaskState task : service.queue().all()) {
              if (task.spec().deadlineNanos() <= alarms.now()) {
                lifecycle.deadlinePassed(task);
              }
            }
          }
          alarms.after(maxDuration, this::releaseIfExpired);
        });
  }

  /** Ends the suspension once the deployment and the list of VMs are up to date again. */
  public void resumeStarts() {
    routing.run(
        () -> {
          suspension.resume();
          directory.services().forEach(routing::markChanged);
        });
  }

  private void releaseIfExpired() {
    if (!suspension.active()) {
      resumeStarts();
    }
  }

  private void route(ServiceState service) {
    scheduler.route(service);
  }

  private void upstreamPresenceChanged(String address) {
    ServiceState service = directory.serviceOf(address);
    if (service != null) {
      ejection.limitEjected(service);
      routing.markChanged(service);
    }
  }

  private void refresh() {
    routing.run(
        () -> {
          long now = alarms.now();
          directory.dropWithdrawn();
          quotas.removeIdle(now);
          for (ServiceState service : directory.services()) {
            refresh(service, now);
          }
        });
  }

  private void refresh(ServiceState service, long now) {
    double mean = service.pool().meanLogTimePerUnit();
    for (UpstreamState upstream : service.pool().members()) {
      if (upstream.closeIdleConnections(now, settings.idleConnectionTime().toNanos())) {
        transport.closeIdleConnections(upstream.address());
      }
      if (upstream.ownInFlight() == 0 && now - upstream.lastUsedNanos() > UNUSED_UPSTREAM_NANOS) {
        upstream.speed().moveTowards(mean, REGRESSION_SHARE);
        service.pool().update(upstream);
      }
    }
    service.pool().recalculateCapacity();
  }

  private final class PeerChanges implements PeerLoads.Listener {

    @Override
    public void upstreamChanged(String address, int inFlight) {
      UpstreamState upstream = directory.upstream(address);
      if (upstream != null) {
        upstream.setPeerInFlight(inFlight);
        ServiceState service = directory.serviceOf(address);
        service.pool().update(upstream);
        routing.markChanged(service);
      }
    }

    @Override
    public void peersChanged(int peers) {
      quotas.setLiveEntryVms(1 + peers);
      directory.setLiveEntryVms(1 + peers);
    }
  }
}
