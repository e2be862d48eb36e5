package org.lovagerack.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.lovagerack.dispatch.DispatchObserver;
import org.lovagerack.dispatch.StartReason;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/** Records dispatcher events as metrics and log events. */
public final class DispatchMetrics implements DispatchObserver {

  private static final EventLog LOG = new EventLog(DispatchMetrics.class);

  private final MetricRegistry registry;
  private final Runnable loadChanged;

  /**
   * Creates an observer.
   *
   * @param registry registry of the metrics
   * @param loadChanged called when the number of attempts in flight changes
   */
  public DispatchMetrics(MetricRegistry registry, Runnable loadChanged) {
    this.registry = registry;
    this.loadChanged = loadChanged;
  }

  @Override
  public void attemptStarted(String service, String upstream, StartReason reason, Duration queued) {
    registry.timer("dispatch.queued").update(queued.toNanos(), TimeUnit.NANOSECONDS);
    count("dispatch.started." + reason.name().toLowerCase(Locale.ROOT));
    loadChanged.run();
  }

  @Override
  public void attemptAnswered(String service, String upstream, int status, Duration runTime) {
    registry.timer("dispatch.run-time").update(runTime.toNanos(), TimeUnit.NANOSECONDS);
    count("dispatch.answered." + status / 100 + "xx");
    loadChanged.run();
  }

  @Override
  public void attemptNotSent(String service, String upstream, String reason) {
    count("dispatch.not-sent");
    loadChanged.run();
  }

  @Override
  public void attemptLost(String service, String upstream, String reason) {
    count("dispatch.lost");
    loadChanged.run();
  }

  @Override
  public void attemptCancelled(String service, String upstream) {
    count("dispatch.cancelled");
    loadChanged.run();
  }

  @Override
  public void taskRetried(String service, String taskKey) {
    count("dispatch.retried");
  }

  @Override
  public void retryBudgetExhausted(String service) {
    count("dispatch.retry-budget-exhausted");
  }

  @Override
  public void connectionSuspect(String service, String upstream) {
    count("dispatch.connection-suspect");
    LOG.write(LogEvent.CONNECTION_SUSPECT, "service", service, "upstream", upstream);
  }

  @Override
  public void upstreamEjected(String service, String upstream, Duration period) {
    count("dispatch.ejected");
    LOG.write(
        LogEvent.UPSTREAM_EJECTED, "service", service, "upstream", upstream, "period", period);
  }

  @Override
  public void upstreamReadmitted(String service, String upstream) {
    LOG.write(LogEvent.UPSTREAM_READMITTED, "service", service, "upstream", upstream);
  }

  @Override
  public void upstreamLeaving(String upstream) {
    LOG.write(LogEvent.UPSTREAM_LEAVING, "upstream", upstream);
  }

  @Override
  public void jobRefused(String service, String team, ErrorKind kind) {
    count("dispatch.refused." + kind.wireName());
  }

  @Override
  public void taskNotRun(String service, ErrorKind kind) {
    count("dispatch.not-run." + kind.wireName());
  }

  @Override
  public void startsSuspended(Duration period) {
    count("dispatch.starts-held");
  }

  private void count(String name) {
    registry.counter(name).inc();
  }
}
