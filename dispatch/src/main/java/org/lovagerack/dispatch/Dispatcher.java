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
 * Runs tasks on the upstreams of their services. All calls, timer callbacks and results of the
 * transport must come from one event loop. Submitted tasks are started by a timer callback without
 * delay, so that all tasks of a job are in the queue before the first one starts.
 */
public final class Dispatcher implements TaskDispatcher {

  private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
  private static final long UNUSED_NANOS = Duration.ofSeconds(10).toNanos();
  // Forgets half of what is known of an unused upstream in about two minutes.
  private static final double RELAX_SHARE = 0.005;

  private final UpstreamTransport transport;
  private final DispatchSettings settings;
  private final DispatchObserver observer;
  private final AlarmQueue alarms;
  private final Turn turn;
  private final StartHold hold;
  private final TeamQuotas quotas = new TeamQuotas();
  private final UpstreamDirectory directory;
  private final PeerLoads peerLoads;
  private final EjectionPolicy ejection;
  private final TaskLifecycle lifecycle;
  private final Scheduler scheduler;
  private final AdmissionControl admission;
  private long nextOrder;

  /**
   * Creates a dispatcher that knows no service until {@link #deploy} is called.
   *
   * @param timer the only source of time
   * @param transport sends the attempts
   * @param random source of the ranking offsets; seed it differently on every entry VM
   * @param settings tunables
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
    this.turn = new Turn(this::route);
    this.hold = new StartHold(alarms);
    this.directory = new UpstreamDirectory(transport, random, settings);
    this.peerLoads = new PeerLoads(alarms, turn, settings, new PeerChanges());
    this.ejection = new EjectionPolicy(alarms, turn, settings, observer);
    InFlightAttempts inFlight = new InFlightAttempts(alarms, turn, settings, observer);
    this.lifecycle = new TaskLifecycle(alarms, turn, inFlight, quotas, settings, observer);
    RetryPolicy retries = new RetryPolicy(alarms, settings, observer);
    AttemptRunner runner =
        new AttemptRunner(
            alarms, turn, transport, inFlight, lifecycle, ejection, retries, hold, settings,
            observer);
    this.scheduler = new Scheduler(alarms, runner, lifecycle, hold, settings);
    this.admission = new AdmissionControl(alarms, directory, quotas, settings, observer);
    timer.every(REFRESH_PERIOD, this::refresh);
  }

  @Override
  public Optional<Failure> admit(JobShape job) {
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
    turn.run(() -> lifecycle.accept(task));
    return () -> turn.run(() -> lifecycle.cancel(task));
  }

  /** Puts a deployment in force. Work in flight on withdrawn upstreams is finished. */
  public void deploy(Deployment deployment) {
    turn.run(
        () -> {
          quotas.define(deployment.teams());
          for (ServiceState withdrawn : directory.deploy(deployment, peerLoads)) {
            withdrawn.queue().all().forEach(lifecycle::failWithdrawn);
          }
          directory.dropWithdrawn();
          for (ServiceState service : directory.services()) {
            ejection.limitEjected(service);
            turn.changed(service);
          }
        });
  }

  /** Starts no more tasks on an upstream; its attempts in flight are finished. */
  public void upstreamLeaving(String address) {
    turn.run(
        () -> {
          if (directory.leaving(address)) {
            observer.upstreamLeaving(address);
            upstreamPresenceChanged(address);
          }
        });
  }

  /** Takes back that an upstream is leaving. */
  public void upstreamLive(String address) {
    turn.run(
        () -> {
          directory.live(address);
          upstreamPresenceChanged(address);
        });
  }

  /** Replaces the load report of another entry VM of the failure domain. */
  public void peerLoads(String peer, Map<String, Integer> inFlightByUpstream) {
    turn.run(() -> peerLoads.report(peer, inFlightByUpstream));
  }

  /** Drops the load report of an entry VM that is gone. */
  public void peerGone(String peer) {
    turn.run(() -> peerLoads.remove(peer));
  }

  /** Returns the slots that this entry VM uses, by address; upstreams without any are left out. */
  public Map<String, Integer> inFlightByUpstream() {
    Map<String, Integer> counts = new TreeMap<>();
    for (UpstreamState upstream : directory.all()) {
      if (upstream.ownInFlight() > 0) {
        counts.put(upstream.address(), upstream.ownInFlight());
      }
    }
    return counts;
  }

  /** Returns the number of tasks that wait for a slot. */
  public int queuedTasks() {
    int count = 0;
    for (ServiceState service : directory.services()) {
      count += service.queue().size();
    }
    return count;
  }

  /**
   * Holds new starts after a process pause, until {@link #releaseStarts} or for a limited time.
   * Queued tasks whose deadline passed during the pause fail first.
   */
  public void holdStarts(Duration longest) {
    turn.run(
        () -> {
          hold.until(alarms.now() + longest.toNanos());
          observer.startsHeld(longest);
          for (ServiceState service : directory.services()) {
            for (TaskState task : service.queue().all()) {
              if (task.spec().deadlineNanos() <= alarms.now()) {
                lifecycle.deadlinePassed(task);
              }
            }
          }
          alarms.after(longest, this::releaseIfOver);
        });
  }

  /** Ends a hold of starts, because the deployment and the list of VMs are up to date again. */
  public void releaseStarts() {
    turn.run(
        () -> {
          hold.release();
          directory.services().forEach(turn::changed);
        });
  }

  private void releaseIfOver() {
    if (!hold.active()) {
      releaseStarts();
    }
  }

  private void route(ServiceState service) {
    scheduler.route(service);
  }

  private void upstreamPresenceChanged(String address) {
    ServiceState service = directory.serviceOf(address);
    if (service != null) {
      ejection.limitEjected(service);
      turn.changed(service);
    }
  }

  private void refresh() {
    turn.run(
        () -> {
          long now = alarms.now();
          directory.dropWithdrawn();
          quotas.forgetIdle(now);
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
      if (upstream.ownInFlight() == 0 && now - upstream.lastUsedNanos() > UNUSED_NANOS) {
        upstream.speed().relax(mean, RELAX_SHARE);
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
        turn.changed(service);
      }
    }

    @Override
    public void peersChanged(int peers) {
      quotas.setLiveEntryVms(1 + peers);
      directory.setLiveEntryVms(1 + peers);
    }
  }
}
