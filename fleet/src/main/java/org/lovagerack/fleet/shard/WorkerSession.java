package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.ReportOutcome;
import org.lovagerack.fleet.worker.ReportRequest;
import org.lovagerack.fleet.worker.RequestOutcome;
import org.lovagerack.fleet.worker.StartRequest;
import org.lovagerack.fleet.worker.TaskRunResult;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.fleet.worker.WorkerReport;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Session of the shard's owner with one worker: tracks its runs, its lease and its unacknowledged
 * results. No run is started before the worker has reported under the owner's token. From that
 * report on, the worker rejects requests of former owners.
 */
final class WorkerSession {

  /**
   * Time for which a worker may delay a report that does not extend its lease. The lease must be
   * extended soon after its runs have been claimed.
   */
  private static final Duration MAX_REPORT_WAIT_WITHOUT_EXTENSION = Duration.ofMillis(40);

  /** Delay between reports of a worker without runs. */
  private static final Duration IDLE_REPORT_DELAY = Duration.ofSeconds(1);

  /**
   * Delay before the next report request to an unlisted worker that did not answer. It may be
   * partitioned from the store together with its entry VMs.
   */
  private static final Duration UNLISTED_RETRY_DELAY = Duration.ofMillis(300);

  /** Time after which the session of an unlisted worker without runs is removed. */
  private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(12);

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private static final EventLog LOG = new EventLog(WorkerSession.class);

  private final TimerService timer;
  private final WorkerCalls calls;
  private final LongSupplier token;
  private final ResponseTimes responseTimes;
  private final Suitability suitability;
  private final RunListener listener;
  private final WorkerRuns runs;
  private final WorkerClock clock;
  private final WorkerLease lease;
  private final UnacknowledgedResults results = new UnacknowledgedResults();
  private final StartBackoff startBackoff;
  private WorkerEntry entry;
  private boolean listed = true;
  private long unlistedNanos;
  private boolean closed;
  private boolean joined;
  private boolean reportedAll;
  private boolean resultsWithheld;
  private boolean suspect;
  private boolean processEnded;
  private boolean reporting;
  private boolean reportRequested;
  private long reportsSent;
  private int unansweredInARow;
  private long incarnation;
  private long nextIdleReportNanos;

  WorkerSession(
      TimerService timer,
      WorkerCalls calls,
      FleetBounds bounds,
      LongSupplier token,
      ResponseTimes responseTimes,
      Suitability suitability,
      WorkerEntry entry,
      ActiveTasks activeTasks,
      RunListener listener) {
    this.timer = timer;
    this.calls = calls;
    this.token = token;
    this.responseTimes = responseTimes;
    this.suitability = suitability;
    this.entry = entry;
    this.listener = listener;
    this.runs = new WorkerRuns(activeTasks);
    this.clock = new WorkerClock(timer);
    this.lease = new WorkerLease(timer, bounds);
    this.startBackoff = new StartBackoff(timer);
    this.nextIdleReportNanos = timer.nanoTime();
  }

  WorkerId id() {
    return entry.id();
  }

  WorkerEntry entry() {
    return entry;
  }

  /** Returns the incarnation that the worker last reported; 0 before its first report. */
  long incarnation() {
    return incarnation;
  }

  /** Returns whether the worker has reported to this owner. */
  boolean joined() {
    return joined;
  }

  /**
   * Returns whether everything that the worker held when this owner began to use it has been read:
   * its runs and all its results, which it may list in several reports.
   */
  boolean reportedAll() {
    return reportedAll;
  }

  /**
   * Returns whether the worker may hold results of former owners that have not been read and still
   * count. Results that a worker held when its lease expired are void.
   */
  boolean mayHoldUnreadResults() {
    return joined && !reportedAll && !(suspect && lease.expired());
  }

  /** Returns whether the worker did not answer the last report request. */
  boolean suspect() {
    return suspect;
  }

  /** Returns whether the directory lists the worker. */
  boolean listed() {
    return listed;
  }

  /** Returns whether another process answers at the worker's address. */
  boolean processEnded() {
    return processEnded;
  }

  /** Returns whether the worker counts towards the capacity of its service. */
  boolean serving() {
    return joined && !suspect && listed && suitability.acceptsTasks(entry);
  }

  /** Returns the runs that are active or may become active, including those being started. */
  Set<TaskRun> runs() {
    return runs.all();
  }

  /** Returns the state of a run, or null if it is unknown. */
  ActiveRun activeRun(TaskRun run) {
    return runs.get(run);
  }

  /** Returns the resources available for new tasks; none while the worker accepts no tasks. */
  Resources freeResources() {
    return acceptsTasks() ? entry.capacity().minus(runs.used()) : Resources.NONE;
  }

  boolean acceptsTasks() {
    return serving()
        && hasKnownCapacity()
        && !runs.any(ActiveRun::alone)
        && mayExtendLease()
        && startBackoff.hasElapsed();
  }

  int runsOfStep(String jobId, int step) {
    return runs.countOfStep(jobId, step);
  }

  /** Updates the worker's directory entry. */
  void update(WorkerEntry changed) {
    boolean otherProcess = !changed.address().equals(entry.address());
    entry = changed;
    listed = true;
    if (otherProcess || changed.incarnation() != incarnation) {
      requestReport();
    }
  }

  /** Marks the worker as no longer listed by the directory. */
  void markUnlisted() {
    listed = false;
    unlistedNanos = timer.nanoTime();
  }

  /** Returns whether the session can be removed. */
  boolean isRemovable() {
    return !listed
        && runs.isEmpty()
        && timer.nanoTime() - unlistedNanos > UNLISTED_RETENTION.toNanos();
  }

  /** Requests the first report. */
  void open() {
    report();
  }

  void close() {
    closed = true;
  }

  /**
   * Starts a run; the listener is notified of its outcome.
   *
   * @param durable whether the job of the run is durable
   * @param alone whether the worker accepts no further tasks until the run has ended
   */
  void start(
      TaskRun run, String specification, Resources resources, boolean durable, boolean alone) {
    ActiveRun active = ActiveRun.starting(resources, durable, alone, timer.nanoTime());
    runs.add(run, active);
    StartRequest request =
        new StartRequest(run, specification, lease.extend(clock), token.getAsLong());
    long incarnationAtStart = incarnation;
    long sentNanos = timer.nanoTime();
    calls.start(
        entry,
        request,
        responseTimes.timeout(unansweredInARow),
        outcome -> {
          recordOutcome(outcome, sentNanos);
          if (!closed && incarnation == incarnationAtStart && runs.get(run) == active) {
            handleStartOutcome(run, active, request.fencingToken(), outcome);
          }
        });
    requestReport();
  }

  /** Sets the resources of an inherited run whose job has been identified. */
  void adopt(TaskRun run, Resources resources) {
    runs.claim(run, resources);
  }

  /**
   * Lets a run lapse if it cannot be stopped in time, because another owner may start its task. The
   * worker's lease is not extended until the run has ended.
   */
  void revoke(TaskRun run) {
    ActiveRun active = runs.get(run);
    if (active != null) {
      active.revoke();
    }
  }

  /**
   * Returns whether a message to the worker may extend its lease. Report and start requests extend
   * the lease of all its runs, so no run may be one that another owner may treat as lost when the
   * lease expires: a run whose job is unknown here, a revoked one, or one of a durable job while
   * this owner's own lease is not valid.
   */
  private boolean mayExtendLease() {
    return !runs.any(ActiveRun::mustLapse)
        && (!runs.any(ActiveRun::durable) || listener.mayExtendDurableRuns());
  }

  /** Returns whether the directory lists the process that reports, whose capacity may differ. */
  private boolean hasKnownCapacity() {
    return incarnation == 0 || entry.incarnation() == 0 || incarnation == entry.incarnation();
  }

  /** Stops a run; its result is reported like any other. */
  void stop(TaskRun run) {
    ActiveRun active = runs.get(run);
    if (active != null && !active.stopping()) {
      active.markStopping();
      sendStop(run);
    }
  }

  /** Requests a report now, or after the report that is in progress. */
  void requestReport() {
    if (reporting) {
      reportRequested = true;
    } else {
      report();
    }
  }

  /** Allows the worker to discard a result if the same process listed it. */
  void acknowledge(long resultIncarnation, long number) {
    if (resultIncarnation == incarnation) {
      results.acknowledge(number);
    }
  }

  private void handleStartOutcome(
      TaskRun run, ActiveRun active, long usedToken, RequestOutcome outcome) {
    switch (outcome) {
      case RequestOutcome.Done done -> {
        clock.update(done.clockMillis());
        startBackoff.accepted();
        active.markConfirmed(timer.nanoTime());
        active.markProgressStart(done.clockMillis());
        listener.started(this, run);
      }
      case RequestOutcome.Rejected rejected -> handleStartRejection(run, usedToken, rejected);
      case RequestOutcome.Unknown unknown -> {
        LOG.write(
            LogEvent.START_UNANSWERED, "task", run, "worker", id(), "detail", unknown.detail());
        // A stop request also prevents a run whose start request has not arrived yet.
        active.markStartUnanswered();
        sendStop(run);
      }
    }
  }

  private void handleStartRejection(TaskRun run, long usedToken, RequestOutcome.Rejected rejected) {
    LOG.write(
        LogEvent.START_REJECTED,
        "task",
        run,
        "worker",
        id(),
        "reason",
        rejected.reason(),
        "detail",
        rejected.detail());
    runs.remove(run);
    startBackoff.rejected(rejected.reason());
    switch (rejected.reason()) {
      case EXPIRED, OTHER_INCARNATION -> requestReport();
      case FENCED -> listener.fenced(this, usedToken);
      case NO_ROOM, UNAVAILABLE, MALFORMED, SUPERSEDED -> {
        // The backoff is sufficient.
      }
    }
    listener.lost(this, run, RunLoss.NOT_EXECUTED, "start rejected: " + rejected.reason());
  }

  private void sendStop(TaskRun run) {
    long usedToken = token.getAsLong();
    long sentNanos = timer.nanoTime();
    calls.stop(
        entry,
        run,
        usedToken,
        responseTimes.timeout(unansweredInARow),
        outcome -> {
          recordOutcome(outcome, sentNanos);
          ActiveRun active = runs.get(run);
          if (closed || active == null) {
            return;
          }
          if (outcome instanceof RequestOutcome.Done done) {
            clock.update(done.clockMillis());
            active.markStopConfirmed(timer.nanoTime());
            if (active.stoppedWithoutExpectedEnd()) {
              // Its task waits for a report that does not list the run.
              reportWithoutDelay();
            } else {
              requestReport();
            }
          } else {
            if (outcome instanceof RequestOutcome.Rejected rejected
                && rejected.reason() == RequestOutcome.Reason.FENCED) {
              listener.fenced(this, usedToken);
            }
            timer.after(
                RETRY_DELAY,
                () -> {
                  if (!closed && runs.get(run) == active) {
                    sendStop(run);
                  }
                });
          }
        });
  }

  /** Requests a report now; one that is in progress is ignored, because it may be delayed. */
  private void reportWithoutDelay() {
    reporting = false;
    report();
  }

  private void report() {
    if (closed || reporting) {
      return;
    }
    reportsSent++;
    reporting = true;
    reportRequested = false;
    boolean extend = joined && !suspect && !runs.isEmpty() && mayExtendLease();
    OptionalLong deadline = extend ? OptionalLong.of(lease.extend(clock)) : OptionalLong.empty();
    // Each incarnation restarts the numbering of results, so nothing is acknowledged to a worker
    // that may have restarted.
    long acknowledge = joined && !suspect ? results.acknowledgedThrough() : 0;
    long sentNanos = timer.nanoTime();
    long usedToken = token.getAsLong();
    Duration wait = reportWait(extend);
    long number = reportsSent;
    calls.report(
        entry,
        new ReportRequest(usedToken, deadline, acknowledge, wait),
        responseTimes.timeout(unansweredInARow),
        outcome -> {
          if (closed || number != reportsSent) {
            return;
          }
          reporting = false;
          switch (outcome) {
            case ReportOutcome.Reported reported -> {
              recordAnswer();
              if (wait.isZero()) {
                responseTimes.observe(Duration.ofNanos(timer.nanoTime() - sentNanos));
              }
              handleReportOrRetry(reported.report(), sentNanos, usedToken);
            }
            case ReportOutcome.Missing missing -> handleMissingReport(missing.outcome(), usedToken);
          }
        });
  }

  private void recordOutcome(RequestOutcome outcome, long sentNanos) {
    switch (outcome) {
      case RequestOutcome.Done done -> {
        recordAnswer();
        responseTimes.observe(Duration.ofNanos(timer.nanoTime() - sentNanos));
      }
      case RequestOutcome.Rejected rejected -> {
        if (rejected.reason() != RequestOutcome.Reason.UNAVAILABLE) {
          recordAnswer();
        }
      }
      case RequestOutcome.Unknown unknown -> recordUnanswered();
    }
  }

  private void recordAnswer() {
    unansweredInARow = 0;
    responseTimes.recordAnswer();
  }

  private void recordUnanswered() {
    unansweredInARow++;
    responseTimes.recordUnanswered();
  }

  private Duration reportWait(boolean extend) {
    if (!joined
        || suspect
        || unansweredInARow > 0
        || runs.isEmpty()
        || runs.any(ActiveRun::stoppedWithoutExpectedEnd)) {
      return Duration.ZERO;
    }
    return extend ? responseTimes.reportWait() : MAX_REPORT_WAIT_WITHOUT_EXTENSION;
  }

  private void handleMissingReport(RequestOutcome outcome, long usedToken) {
    if (outcome instanceof RequestOutcome.Rejected rejected
        && rejected.reason() == RequestOutcome.Reason.FENCED) {
      listener.fenced(this, usedToken);
    }
    if (outcome instanceof RequestOutcome.Unknown) {
      recordUnanswered();
      if (joined && unansweredInARow == 1) {
        // A worker may lose a single request. Until it answers, the ends of its runs go unnoticed.
        report();
        return;
      }
    }
    if (!suspect) {
      suspect = true;
      LOG.write(LogEvent.WORKER_SUSPECT, "worker", id(), "runs", runs.size(), "detail", outcome);
    }
    if (outcome instanceof RequestOutcome.Rejected rejected
        && rejected.reason() == RequestOutcome.Reason.OTHER_INCARNATION) {
      processEnded = true;
      loseAllRuns(RunLoss.PROCESS_ENDED, "another process answers at the worker's address");
    } else if (lease.expired()) {
      loseAllRuns(RunLoss.UNRESPONSIVE, "the worker's lease has expired");
    }
    timer.after(listed ? RETRY_DELAY : UNLISTED_RETRY_DELAY, this::report);
  }

  private void handleReportOrRetry(WorkerReport report, long sentNanos, long usedToken) {
    try {
      handleReport(report, sentNanos, usedToken);
    } catch (RuntimeException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e, "worker", id());
      timer.after(RETRY_DELAY, this::report);
    }
  }

  private void handleReport(WorkerReport report, long sentNanos, long usedToken) {
    lease.reported(usedToken, report.incarnation());
    boolean restarted = joined && report.incarnation() != incarnation;
    if (restarted) {
      LOG.write(
          LogEvent.WORKER_RESTARTED,
          "worker",
          id(),
          "before",
          incarnation,
          "now",
          report.incarnation());
      results.reset();
    }
    incarnation = report.incarnation();
    clock.reset(report.clockMillis());
    boolean first = !joined;
    processEnded = false;
    if (suspect) {
      suspect = false;
      LOG.write(LogEvent.WORKER_RECOVERED, "worker", id(), "runs", runs.size());
    }
    joined = true;
    processResults(report);
    processRunning(report, sentNanos, restarted);
    if (restarted) {
      runs.forEach(this::stopUnconfirmed);
    }
    if (first) {
      listener.joined(this);
    }
    if (!report.listsAllResults()) {
      if (!resultsWithheld) {
        LOG.write(LogEvent.RESULTS_WITHHELD, "worker", id(), "reportedAll", reportedAll);
      }
      listener.resultsWithheld(this);
    } else if (!reportedAll) {
      reportedAll = true;
      listener.reportedAll(this);
    }
    resultsWithheld = !report.listsAllResults();
    listener.resourcesFreed(this);
    scheduleNextReport();
  }

  /**
   * Stops a run whose start request was in transit when the worker restarted, so that it does not
   * start in the new process unless it is already active there. Runs that were already confirmed
   * are lost, because the report does not list them.
   */
  private void stopUnconfirmed(TaskRun run, ActiveRun active) {
    if (!active.confirmed() && !active.stopping()) {
      active.markStartUnanswered();
      sendStop(run);
    }
  }

  private void processResults(WorkerReport report) {
    Deque<Long> unreadable = new ArrayDeque<>(report.unreadableResults());
    for (TaskRunResult result : report.results()) {
      passOver(unreadable, result.number());
      if (!results.add(result.number())) {
        continue;
      }
      ActiveRun active = runs.get(result.run());
      Duration ranFor =
          active == null || !active.confirmed()
              ? Duration.ZERO
              : Duration.ofNanos(timer.nanoTime() - active.confirmedNanos());
      runs.remove(result.run());
      listener.ended(
          this, result, new UnacknowledgedResult(this, incarnation, result.number()), ranFor);
    }
    passOver(unreadable, Long.MAX_VALUE);
  }

  /** Acknowledges results that name no task; otherwise, no later one could be acknowledged. */
  private void passOver(Deque<Long> unreadable, long limit) {
    while (!unreadable.isEmpty() && unreadable.peek() < limit) {
      long number = unreadable.poll();
      if (results.add(number)) {
        results.acknowledge(number);
      }
    }
  }

  private void processRunning(WorkerReport report, long sentNanos, boolean restarted) {
    Set<TaskRun> runningRuns = new HashSet<>();
    for (WorkerReport.RunningTask running : report.running()) {
      runningRuns.add(running.run());
      ActiveRun known = runs.get(running.run());
      if (known == null) {
        addInheritedRun(running.run());
      } else if (known.awaitsConfirmation()) {
        known.markConfirmed(timer.nanoTime());
        listener.started(this, running.run());
      } else if (known.confirmed() && !known.stopping()) {
        listener.progressReported(
            this,
            running.run(),
            running.percent(),
            known.recordProgress(running.percent(), report.clockMillis()));
      } else {
        known.markListed(sentNanos);
      }
    }
    runs.forEach(
        (run, active) -> {
          if (report.listsAllResults()
              && !runningRuns.contains(run)
              && active.mustBeListed(sentNanos)) {
            runs.remove(run);
            listener.lost(
                this,
                run,
                restarted && active.confirmed() ? RunLoss.PROCESS_ENDED : RunLoss.NOT_EXECUTED,
                "the worker does not list the run");
          }
        });
  }

  private void addInheritedRun(TaskRun run) {
    RunListener.InheritedRunDecision decision = listener.inheritedRunReported(this, run);
    boolean unclaimed = decision.resources().equals(Resources.NONE);
    runs.add(
        run,
        ActiveRun.inherited(decision.resources(), decision.durable(), unclaimed, timer.nanoTime()));
    if (!decision.continues()) {
      stop(run);
    }
  }

  private void scheduleNextReport() {
    if (closed || reporting) {
      return;
    }
    if (!runs.isEmpty() || reportRequested) {
      report();
      return;
    }
    nextIdleReportNanos = timer.nanoTime() + IDLE_REPORT_DELAY.toNanos();
    timer.after(
        IDLE_REPORT_DELAY,
        () -> {
          if (!reporting && timer.nanoTime() - nextIdleReportNanos >= 0) {
            report();
          }
        });
  }

  private void loseAllRuns(RunLoss lossOfConfirmed, String reason) {
    List<TaskRun> unconfirmed = new ArrayList<>();
    List<TaskRun> confirmed = new ArrayList<>();
    runs.forEach(
        (run, active) -> {
          (active.confirmed() ? confirmed : unconfirmed).add(run);
          runs.remove(run);
        });
    unconfirmed.forEach(run -> listener.lost(this, run, RunLoss.UNCONFIRMED, reason));
    confirmed.forEach(run -> listener.lost(this, run, lossOfConfirmed, reason));
  }
}
