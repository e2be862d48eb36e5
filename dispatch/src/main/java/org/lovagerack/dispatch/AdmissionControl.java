package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;

/** Refuses jobs that would miss their deadline, before any of their tasks is queued. */
final class AdmissionControl {

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  private final AlarmQueue alarms;
  private final UpstreamDirectory directory;
  private final TeamQuotas quotas;
  private final DispatchSettings settings;
  private final DispatchObserver observer;

  AdmissionControl(
      AlarmQueue alarms,
      UpstreamDirectory directory,
      TeamQuotas quotas,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.directory = directory;
    this.quotas = quotas;
    this.settings = settings;
    this.observer = observer;
  }

  Optional<Failure> admit(AdmissionRequest job) {
    Optional<Failure> refusal = check(job);
    refusal.ifPresent(failure -> observer.jobRefused(job.service(), job.team(), failure.kind()));
    return refusal;
  }

  private Optional<Failure> check(AdmissionRequest job) {
    if (!directory.deployed()) {
      return refuse(ErrorKind.NOT_READY, "no deployment is known yet");
    }
    ServiceState service = directory.service(job.service());
    if (service == null) {
      return refuse(ErrorKind.UNKNOWN_SERVICE, "service " + job.service() + " is not in force");
    }
    long remaining = job.deadlineNanos() - alarms.now();
    if (remaining <= 0) {
      return refuse(ErrorKind.DEADLINE_PASSED, "the deadline passed before the job was queued");
    }
    if (!service.pool().anyPresent()) {
      return refuse(ErrorKind.NO_UPSTREAM, "service " + job.service() + " has no upstream");
    }
    Estimate estimate = estimate(service, job);
    double fastest = estimate.longestWork * service.pool().fastestTimePerUnit(alarms.now());
    if (fastest > remaining) {
      return refuse(
          ErrorKind.IMPOSSIBLE_JOB,
          "a task takes about %s on the fastest upstream, %s are left"
              .formatted(millis(fastest), millis((double) remaining)));
    }
    if (!quotas.allows(job.team(), job.taskCount(), alarms.now())) {
      return refuse(ErrorKind.QUOTA_EXCEEDED, "the quota of team " + job.team() + " is used up")
          .map(failure -> failure.retryAfter(Duration.ofSeconds(1)));
    }
    int queued = service.queue().size();
    int limit = service.definition().maxQueuedTasks();
    if (queued + job.taskCount() > limit) {
      return refuse(
              ErrorKind.QUEUE_FULL,
              "%d tasks of service %s are queued, the limit is %d"
                  .formatted(queued, job.service(), limit))
          .map(failure -> failure.retryAfter(drainTime(service)));
    }
    return checkLoad(service, job, estimate, remaining);
  }

  private Optional<Failure> checkLoad(
      ServiceState service, AdmissionRequest job, Estimate estimate, long remaining) {
    double capacity = service.pool().capacity();
    int freeSlots = service.pool().shareSlots() - service.releases().size();
    boolean waits = service.queue().size() + job.taskCount() > freeSlots;
    double work = estimate.longestWork + (job.taskCount() - 1) * estimate.typicalWork;
    long due = service.dueNanos(job.deadlineNanos(), estimate.longestWork, work, alarms.now());
    double workBefore = service.queue().workBefore(job.urgent(), due);
    double wait = waits ? (workBefore + work - estimate.longestWork) / capacity : 0;
    double meanTimePerUnit = service.pool().shareSlots() / capacity;
    double longestRun = estimate.longestWork * meanTimePerUnit;
    double finish = wait + slowRunTime(service, longestRun, (double) remaining);
    boolean tooLate = waits && !(finish <= remaining * (1 - settings.admissionHeadroom()));
    if (tooLate
        || service.queue().wouldMissDeadline(job.urgent(), due, work, capacity, alarms.now())) {
      service.markOverloaded(alarms.now());
      return refuse(
              ErrorKind.OVERLOADED,
              "the job would finish in about %s, %s are left"
                  .formatted(millis(finish), millis((double) remaining)))
          .map(failure -> failure.retryAfter(drainTime(service)));
    }
    service.recordAdmission(job, due);
    return Optional.empty();
  }

  /**
   * Returns the run time to reserve for the last task of a job. A single slow task makes the entire
   * job late and wastes the work of its other tasks, so this is the run time of a slow task. It is
   * limited to half of the remaining time, which leaves time in the queue under a tight deadline.
   */
  private static double slowRunTime(ServiceState service, double expectedRun, double remaining) {
    double slow = Math.min(expectedRun * service.runTimeRatio().value(), remaining / 2);
    return Math.max(expectedRun, slow);
  }

  private Estimate estimate(ServiceState service, AdmissionRequest job) {
    RunTimeModel model = service.kind(job.kind());
    Duration declared = job.maxDeclaredRunTime();
    if (model.isRecent(alarms.now())) {
      double longest = model.meanWork(declared);
      return new Estimate(longest, job.taskCount() == 1 ? longest : model.typicalWork());
    }
    // Declared run times may be too long by this factor, and a job is refused only if even its
    // shortest likely run time misses the deadline.
    double shortest = model.meanWork(declared) / settings.declaredErrorFactor();
    return new Estimate(shortest, shortest);
  }

  /** Returns the estimated time until all tasks now in the queue have started. */
  private static Duration drainTime(ServiceState service) {
    double capacity = service.pool().capacity();
    if (capacity <= 0) {
      return Duration.ofSeconds(1);
    }
    Duration drain =
        Duration.ofNanos((long) (service.queue().workBefore(false, Long.MAX_VALUE) / capacity));
    return drain.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : drain;
  }

  private static Optional<Failure> refuse(ErrorKind kind, String detail) {
    return Optional.of(Failure.notRun(kind, detail));
  }

  private static String millis(double nanos) {
    return Math.round(nanos / 1e6) + " ms";
  }

  private record Estimate(double longestWork, double typicalWork) {}
}
