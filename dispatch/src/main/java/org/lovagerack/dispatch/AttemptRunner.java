package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.function.Predicate;
import org.lovagerack.foundation.error.ErrorKind;

/** Starts attempts on the transport and handles their results. */
final class AttemptRunner {

  private final AlarmQueue alarms;
  private final RoutingBatch routing;
  private final UpstreamTransport transport;
  private final InFlightAttempts inFlight;
  private final TaskLifecycle lifecycle;
  private final EjectionPolicy ejection;
  private final RetryPolicy retries;
  private final DispatchObserver observer;
  private final AttemptChecks checks;
  private long nextId;

  AttemptRunner(
      AlarmQueue alarms,
      RoutingBatch routing,
      UpstreamTransport transport,
      InFlightAttempts inFlight,
      TaskLifecycle lifecycle,
      EjectionPolicy ejection,
      RetryPolicy retries,
      StartSuspension suspension,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.alarms = alarms;
    this.routing = routing;
    this.transport = transport;
    this.inFlight = inFlight;
    this.lifecycle = lifecycle;
    this.ejection = ejection;
    this.retries = retries;
    this.observer = observer;
    this.checks = new AttemptChecks(alarms, routing, settings, suspension, this);
  }

  /** Starts an attempt and removes its task from the queue. */
  void start(TaskState task, UpstreamState upstream, StartReason reason) {
    ServiceState service = task.service();
    long now = alarms.now();
    Duration waited = Duration.ofNanos(task.queued() ? now - task.queuedNanos() : 0);
    service.queue().remove(task);
    double expected = task.work() * upstream.speed().timePerUnit();
    AttemptState attempt = new AttemptState(task, upstream, reason, nextId++, now, expected);
    int number = task.attemptStarted();
    if (number == 1) {
      service.retryBudget().deposit();
      service.hedgeBudget().deposit();
    }
    inFlight.open(attempt);
    AttemptRequest request =
        new AttemptRequest(
            upstream.address(),
            service.definition().path(),
            task.spec().key(),
            number,
            Duration.ofNanos(task.spec().deadlineNanos() - now),
            task.spec().body(),
            attempt.freshConnection());
    attempt.setHandle(
        transport.start(request, result -> routing.run(() -> onResult(attempt, result))));
    observer.attemptStarted(service.name(), upstream.address(), reason, waited);
    checks.schedule(attempt);
  }

  private void onResult(AttemptState attempt, AttemptResult result) {
    if (attempt.done()) {
      return;
    }
    inFlight.close(attempt);
    String service = attempt.task().service().name();
    String upstream = attempt.upstream().address();
    switch (result) {
      case AttemptResult.Answered answered -> onAnswer(attempt, answered);
      case AttemptResult.NotSent notSent -> {
        observer.attemptNotSent(service, upstream, notSent.reason());
        onNotSent(attempt, notSent.reason());
      }
      case AttemptResult.Lost lost -> {
        observer.attemptLost(service, upstream, lost.reason());
        onLost(attempt, lost.reason());
      }
    }
  }

  private void onAnswer(AttemptState attempt, AttemptResult.Answered answered) {
    TaskState task = attempt.task();
    ServiceState service = task.service();
    long runTime = alarms.now() - attempt.startedNanos();
    observer.attemptAnswered(
        service.name(), attempt.upstream().address(), answered.status(), Duration.ofNanos(runTime));
    if (answered.status() >= 200 && answered.status() < 300) {
      updateEstimates(attempt, Math.max(1, runTime));
      attempt.upstream().setSuspect(false);
      ejection.recordSuccess(attempt, answered.closing());
      lifecycle.succeed(task, answered.body());
      return;
    }
    recordFailure(attempt);
    String detail =
        "upstream %s answered task %s with status %d"
            .formatted(attempt.upstream().address(), task.spec().key(), answered.status());
    if (service.definition().notStartedStatuses().contains(answered.status())) {
      task.attemptNotStarted();
      retryOrFail(attempt, retries::mayRetryNotStarted, ErrorKind.UPSTREAM_FAILED, detail);
    } else {
      retryOrFail(attempt, retries::mayRetry, ErrorKind.UPSTREAM_FAILED, detail);
    }
  }

  private void onNotSent(AttemptState attempt, String reason) {
    TaskState task = attempt.task();
    recordFailure(attempt);
    int unsent = task.attemptUnsent();
    if (task.pending()) {
      return;
    }
    if (retries.mayRetryUnsent(task, unsent)) {
      task.avoid(attempt.upstream());
      lifecycle.requeueUnsent(task, unsent);
    } else {
      lifecycle.fail(
          task,
          ErrorKind.NO_UPSTREAM,
          "task %s could not be sent: %s".formatted(task.spec().key(), reason));
    }
  }

  private void onLost(AttemptState attempt, String reason) {
    recordFailure(attempt);
    TaskState task = attempt.task();
    retryOrFail(
        attempt,
        retries::mayRetry,
        ErrorKind.OUTCOME_UNKNOWN,
        "no complete answer to task %s: %s".formatted(task.spec().key(), reason));
  }

  /** Gives up an attempt that exceeded the maximum run time of its service. */
  void giveUp(AttemptState attempt) {
    inFlight.giveUp(attempt);
    String reason = "no answer within " + attempt.task().service().definition().maxRunTime();
    observer.attemptLost(attempt.task().service().name(), attempt.upstream().address(), reason);
    onLost(attempt, reason);
  }

  /** Handles an attempt that takes so long that its connection may be unresponsive. */
  void onOverdue(AttemptState attempt) {
    TaskState task = attempt.task();
    UpstreamState upstream = attempt.upstream();
    attempt.markOverdue();
    upstream.setSuspect(true);
    transport.closeIdleConnections(upstream.address());
    observer.connectionSuspect(task.service().name(), upstream.address());
    inFlight.observeUnfinished(attempt, alarms.now());
    task.service().pool().update(upstream);
  }

  /** Counts a failure for an attempt that is presumed lost, and retries its task if allowed. */
  void onPresumedLost(AttemptState attempt) {
    TaskState task = attempt.task();
    attempt.markPresumedLost();
    ejection.recordFailure(attempt);
    if (task.inFlight().size() == 1 && retries.mayRetry(task)) {
      retry(attempt);
    }
  }

  /** Updates the run time model, the speed of the upstream and the quantile of slow runs. */
  private void updateEstimates(AttemptState attempt, long runTimeNanos) {
    TaskState task = attempt.task();
    ServiceState service = task.service();
    RunTimeModel model = service.kind(task.spec().kind());
    SpeedEstimate speed = attempt.upstream().speed();
    double logRunTime = Math.log((double) runTimeNanos);
    Duration declared = task.spec().declaredRunTime();
    double logSpeed = speed.logTimePerUnit();
    if (model.hasEnoughObservations()) {
      double logWork = model.logWork(declared);
      service.runTimeRatio().observe(logRunTime - logWork - logSpeed, service.hedgeQuantile());
      speed.observe(logRunTime, logWork);
      service.pool().update(attempt.upstream());
    }
    model.observe(declared, logRunTime - logSpeed, alarms.now());
  }

  private void recordFailure(AttemptState attempt) {
    // An attempt that was presumed lost has already been counted as a failure.
    if (!attempt.presumedLost()) {
      ejection.recordFailure(attempt);
    }
  }

  // Checks the permission last, because it consumes retry budget.
  private void retryOrFail(
      AttemptState attempt, Predicate<TaskState> mayRetry, ErrorKind kind, String detail) {
    TaskState task = attempt.task();
    if (task.pending()) {
      return;
    }
    if (mayRetry.test(task)) {
      retry(attempt);
    } else {
      lifecycle.fail(task, kind, detail);
    }
  }

  private void retry(AttemptState attempt) {
    TaskState task = attempt.task();
    task.retried();
    task.avoid(attempt.upstream());
    observer.taskRetried(task.service().name(), task.spec().key());
    lifecycle.requeue(task);
  }
}
