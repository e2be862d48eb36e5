package org.lovagerack.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.submission.JobObserver;
import org.lovagerack.submission.JobRequest;
import org.lovagerack.submission.JobStatus;
import org.lovagerack.submission.SubmissionId;

/** Records job events as metrics and log events. */
public final class JobMetrics implements JobObserver {

  private static final EventLog LOG = new EventLog(JobMetrics.class);

  private final MetricRegistry registry;
  private final JobBurnMetrics burnMetrics;

  public JobMetrics(MetricRegistry registry, JobBurnMetrics burnMetrics) {
    this.registry = registry;
    this.burnMetrics = burnMetrics;
  }

  @Override
  public void onIssued(int count) {
    registry.counter("jobs.identifiers-issued").inc(count);
  }

  @Override
  public void onAccepted(SubmissionId id, JobRequest request) {
    registry.counter("jobs.accepted").inc();
  }

  @Override
  public void onDuplicate(SubmissionId id) {
    registry.counter("jobs.resubmitted").inc();
  }

  @Override
  public void onRefused(JobRequest request, Failure failure) {
    registry.counter("jobs.refused." + failure.kind().wireName()).inc();
    burnMetrics.recordRefusal(request.service(), failure);
    LOG.write(
        LogEvent.SUBMISSION_REFUSED,
        "service",
        request.service(),
        "kind",
        failure.kind().wireName(),
        "detail",
        failure.detail());
  }

  @Override
  public void onFinished(SubmissionId id, JobRequest request, JobStatus status, Duration elapsed) {
    registry.timer("jobs.response-time").update(elapsed.toNanos(), TimeUnit.NANOSECONDS);
    burnMetrics.recordEnd(request.service(), status, elapsed);
    switch (status) {
      case JobStatus.Completed completed -> registry.counter("jobs.completed").inc();
      case JobStatus.Failed failed -> {
        registry.counter("jobs.failed." + failed.failure().kind().wireName()).inc();
        LOG.write(
            LogEvent.JOB_FAILED,
            "service",
            request.service(),
            "kind",
            failed.failure().kind().wireName(),
            "detail",
            failed.failure().detail());
      }
      case JobStatus.Running running ->
          throw new IllegalArgumentException("a running job is not finished");
    }
  }
}
