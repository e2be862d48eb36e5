package org.lovagerack.node;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.Locale;
import org.lovagerack.eventloop.server.MemoryBudget;
import org.lovagerack.eventloop.server.PortGuard;
import org.lovagerack.eventloop.server.PortLimit;
import org.lovagerack.fleet.job.JobState;
import org.lovagerack.fleet.shard.JobCounters;
import org.lovagerack.fleet.worker.Evacuations;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.event.EventCounts;
import org.lovagerack.foundation.event.LogEvent;

/** Counters and latency histograms of an entry VM. */
final class NodeMetrics implements JobCounters {

  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram startDelay = registry.histogram("job_start_delay_millis");
  private final Histogram responseTime = registry.histogram("job_response_time_millis");

  /** Creates metrics that show the evacuations that this VM knows. */
  NodeMetrics(Evacuations evacuations) {
    registry.registerGauge("evacuated_failure_domains", () -> evacuations.domains().size());
    registry.registerGauge("evacuations_version", evacuations::version);
  }

  @Override
  public void accepted() {
    registry.counter("jobs_accepted").inc();
  }

  @Override
  public void refused(ErrorKind kind) {
    registry.counter("jobs_refused{kind=\"" + kind.wireName() + "\"}").inc();
  }

  @Override
  public void redirected() {
    registry.counter("jobs_redirected").inc();
  }

  @Override
  public void abandoned() {
    registry.counter("jobs_abandoned").inc();
  }

  @Override
  public void startDelay(Duration delay) {
    startDelay.update(delay.toMillis());
  }

  @Override
  public void taskStarted() {
    registry.counter("tasks_started").inc();
  }

  @Override
  public void coldTaskStarted() {
    registry.counter("tasks_started_cold").inc();
  }

  @Override
  public void runLost() {
    registry.counter("runs_lost").inc();
  }

  @Override
  public void runCrashed() {
    registry.counter("runs_crashed").inc();
  }

  @Override
  public void taskNotRepeated() {
    registry.counter("tasks_not_repeated").inc();
  }

  @Override
  public void ended(JobState state, Duration response) {
    registry.counter("jobs_ended{state=\"" + state.name().toLowerCase(Locale.ROOT) + "\"}").inc();
    responseTime.update(response.toMillis());
  }

  @Override
  public void reservationMade() {
    registry.counter("reservations_made").inc();
  }

  @Override
  public void reservationKept() {
    registry.counter("reservations_kept").inc();
  }

  @Override
  public void reservationDropped() {
    registry.counter("reservations_dropped").inc();
  }

  @Override
  public void taskBackfilled() {
    registry.counter("tasks_backfilled").inc();
  }

  /** Counts the tasks of a warm-up that has ended. */
  void warmUpEnded(int tasks) {
    registry.counter("warm_up_tasks").inc(tasks);
  }

  /** Adds the connections, the memory and the limits of a port. */
  void observe(String port, PortGuard guard, MemoryBudget budget) {
    String label = "{port=\"" + port + "\"";
    registry.registerGauge("port_connections" + label + "}", guard::openConnections);
    registry.registerGauge("port_memory_bytes" + label + "}", budget::used);
    for (PortLimit limit : PortLimit.values()) {
      registry.registerGauge(
          "port_limited" + label + ",limit=\"" + limit.label() + "\"}",
          () -> guard.limitCount(limit));
    }
  }

  /** Returns all metrics as text, one per line. */
  String text() {
    StringBuilder text = new StringBuilder();
    registry
        .getCounters()
        .forEach(
            (name, counter) ->
                text.append(name).append(' ').append(counter.getCount()).append('\n'));
    registry
        .getGauges()
        .forEach(
            (name, gauge) -> text.append(name).append(' ').append(gauge.getValue()).append('\n'));
    for (LogEvent event : LogEvent.values()) {
      if (EventCounts.of(event) > 0 && event.severity().compareTo(LogEvent.Severity.WARN) >= 0) {
        text.append("log_events{event=\"")
            .append(event.name().toLowerCase(Locale.ROOT))
            .append("\"} ")
            .append(EventCounts.of(event))
            .append('\n');
      }
    }
    registry
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              appendQuantile(text, name, "0.5", snapshot.getMedian());
              appendQuantile(text, name, "0.95", snapshot.get95thPercentile());
              appendQuantile(text, name, "0.99", snapshot.get99thPercentile());
              text.append(name).append("_count ").append(histogram.getCount()).append('\n');
            });
    return text.toString();
  }

  private static void appendQuantile(
      StringBuilder text, String name, String quantile, double value) {
    text.append(name)
        .append("{quantile=\"")
        .append(quantile)
        .append("\"} ")
        .append(value)
        .append('\n');
  }
}
