package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.fleet.worker.LeaseOrder;
import org.lovagerack.fleet.worker.OrderOutcome;
import org.lovagerack.fleet.worker.ReportOutcome;
import org.lovagerack.fleet.worker.RunEnd;
import org.lovagerack.fleet.worker.StartOrder;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.fleet.worker.WorkerReport;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/**
 * What the shard's owner knows of one worker: its runs, its lease, and the ends that it still
 * lists. Nothing is started before the worker has reported once under the owner's token, which
 * keeps earlier owners from ordering it any more.
 */
final class WorkerLink {

  /** Ends that one report lists at most. */
  private static final int REPORT_LIMIT = 500;

  /** Several times a healthy worker's answer of a few milliseconds. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(250);

  /** How long a worker may wait for an end; with the timeout well under its lease. */
  private static final Duration REPORT_WAIT = Duration.ofMillis(300);

  /** Pause between reports of a worker that runs nothing. */
  private static final Duration IDLE_PAUSE = Duration.ofSeconds(1);

  /** Pause between reports of a worker that is not listed: it may be cut off with its entry VMs. */
  private static final Duration UNLISTED_PAUSE = Duration.ofMillis(300);

  /** Time after which a worker that is not listed and does not report counts as gone. */
  private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(12);

  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

  private static final EventLog LOG = new EventLog(WorkerLink.class);

  private final TimerService timer;
  private final WorkerCalls calls;
  private final FleetBounds bounds;
  private final LongSupplier token;
  private final RunListener listener;
  private final WorkerRuns runs;
  private final WorkerClock clock;
  private final ListedEnds ends = new ListedEnds();
  private final StartPause startPause;
  private WorkerEntry entry;
  private boolean listed = true;
  private long unlistedNanos;
  private boolean closed;
  private boolean joined;
  private boolean suspect;
  private boolean reporting;
  private boolean reportRequested;
  private long incarnation;
  private long lastExtensionNanos;
  private long nextIdleReportNanos;

  WorkerLink(
      TimerService timer,
      WorkerCalls calls,
      FleetBounds bounds,
      LongSupplier token,
      WorkerEntry entry,
      ActiveTasks activeTasks,
      RunListener listener) {
    this.timer = timer;
    this.calls = calls;
    this.bounds = bounds;
    this.token = token;
    this.entry = entry;
    this.listener = listener;
    this.runs = new WorkerRuns(activeTasks);
    this.clock = new WorkerClock(timer);
    this.startPause = new StartPause(timer);
    this.nextIdleReportNanos = timer.nanoTime();
  }

  WorkerId id() {
    return entry.id();
  }

  WorkerEntry entry() {
    return entry;
  }

  /** Returns whether the worker has reported under this owner. */
  boolean joined() {
    return joined;
  }

  /** Returns whether the worker has not answered the last report. */
  boolean suspect() {
    return suspect;
  }

  /** Returns whether the worker counts towards the capacity of its service. */
  boolean serving() {
    return joined && !suspect && listed && !entry.draining();
  }

  /** Returns the runs that are ordered, at work, or cannot be excluded yet. */
  Set<TaskRun> runs() {
    return runs.all();
  }

  /** Returns the resources that are free for tasks; nothing while the worker takes none. */
  Resources room() {
    return acceptsTasks() ? entry.capacity().minus(runs.used()) : Resources.NONE;
  }

  boolean acceptsTasks() {
    return serving() && !hasUnclaimedRuns() && startPause.isOver();
  }

  int runsOfStep(String jobId, int step) {
    return runs.countOfStep(jobId, step);
  }

  /** Takes a changed entry of the directory. */
  void update(WorkerEntry changed) {
    boolean otherProcess = !changed.address().equals(entry.address());
    entry = changed;
    listed = true;
    if (otherProcess || changed.incarnation() != incarnation) {
      requestReport();
    }
  }

  /** The directory does not list the worker any more. */
  void unlisted() {
    listed = false;
    unlistedNanos = timer.nanoTime();
  }

  /** Returns whether the worker can be forgotten. */
  boolean gone() {
    return !listed
        && runs.isEmpty()
        && timer.nanoTime() - unlistedNanos > UNLISTED_RETENTION.toNanos();
  }

  /** Asks for the first report. */
  void open() {
    report();
  }

  void close() {
    closed = true;
  }

  /** Starts a run; the listener hears of its fate. */
  void start(TaskRun run, String specification, Resources resources) {
    ActiveRun active = ActiveRun.ordered(resources, timer.nanoTime());
    runs.add(run, active);
    lastExtensionNanos = timer.nanoTime();
    StartOrder order =
        new StartOrder(
            run,
            specification,
            clock.reachedMillis() + bounds.longestWorkerLease().toMillis(),
            token.getAsLong());
    long incarnationAtStart = incarnation;
    calls.start(
        entry,
        order,
        ORDER_TIMEOUT,
        outcome -> {
          if (!closed && incarnation == incarnationAtStart && runs.get(run) == active) {
            startAnswered(run, active, order.fencingToken(), outcome);
          }
        });
    requestReport();
  }

  /** Tells the resources of a run that was found at work. */
  void adopt(TaskRun run, Resources resources) {
    runs.claim(run, resources);
  }

  /**
   * Returns whether a run is at work whose job is not known. An earlier owner may count it as over
   * when the lease that it gave expires, so the lease must not be extended, and a start would.
   */
  private boolean hasUnclaimedRuns() {
    return runs.any(ActiveRun::unclaimed);
  }

  /** Stops a run; its end is reported like any other. */
  void stop(TaskRun run) {
    ActiveRun active = runs.get(run);
    if (active != null && !active.stopping()) {
      active.stop();
      sendStop(run);
    }
  }

  /** Asks the worker for a report soon. */
  void requestReport() {
    if (reporting) {
      reportRequested = true;
    } else {
      report();
    }
  }

  /** Allows the worker to forget an end, if it is the same process that listed it. */
  void settle(long listedByIncarnation, long number) {
    if (listedByIncarnation == incarnation) {
      ends.settle(number);
    }
  }

  private void startAnswered(TaskRun run, ActiveRun active, long usedToken, OrderOutcome outcome) {
    switch (outcome) {
      case OrderOutcome.Done done -> {
        clock.read(done.clockMillis());
        startPause.accepted();
        active.confirm(timer.nanoTime());
        listener.started(this, run);
      }
      case OrderOutcome.Rejected rejected -> startRejected(run, usedToken, rejected);
      case OrderOutcome.Unknown unknown -> {
        LOG.write(
            LogEvent.START_UNANSWERED, "task", run, "worker", id(), "detail", unknown.detail());
        // A stop also keeps a run from starting that has not arrived yet.
        active.doubt();
        sendStop(run);
      }
    }
  }

  private void startRejected(TaskRun run, long usedToken, OrderOutcome.Rejected rejected) {
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
    runs.forget(run);
    startPause.rejected(rejected.reason());
    switch (rejected.reason()) {
      case EXPIRED, OTHER_INCARNATION -> requestReport();
      case FENCED -> listener.fenced(this, usedToken);
      case NO_ROOM, UNAVAILABLE, MALFORMED, SUPERSEDED -> {
        // Nothing to learn but the pause.
      }
    }
    listener.lost(this, run, "start rejected: " + rejected.reason());
  }

  private void sendStop(TaskRun run) {
    long usedToken = token.getAsLong();
    calls.stop(
        entry,
        run,
        usedToken,
        ORDER_TIMEOUT,
        outcome -> {
          ActiveRun active = runs.get(run);
          if (closed || active == null) {
            return;
          }
          if (outcome instanceof OrderOutcome.Done done) {
            clock.read(done.clockMillis());
            active.confirmStop(timer.nanoTime());
            requestReport();
          } else {
            if (outcome instanceof OrderOutcome.Rejected rejected
                && rejected.reason() == OrderOutcome.Reason.FENCED) {
              listener.fenced(this, usedToken);
            }
            timer.after(
                RETRY_PAUSE,
                () -> {
                  if (!closed && runs.get(run) == active) {
                    sendStop(run);
                  }
                });
          }
        });
  }

  private void report() {
    if (closed || reporting) {
      return;
    }
    reporting = true;
    reportRequested = false;
    boolean extend =
        joined && !suspect && !runs.isEmpty() && !hasUnclaimedRuns() && listener.mayExtend(this);
    OptionalLong deadline =
        extend
            ? OptionalLong.of(clock.reachedMillis() + bounds.longestWorkerLease().toMillis())
            : OptionalLong.empty();
    if (extend) {
      lastExtensionNanos = timer.nanoTime();
    }
    boolean waits = extend && !runs.any(ActiveRun::stopConfirmed);
    // Numbers of ends start anew in each incarnation, so a worker that may have started again is
    // not told to forget any.
    long acknowledge = joined && !suspect ? ends.acknowledgedThrough() : 0;
    long sentNanos = timer.nanoTime();
    long usedToken = token.getAsLong();
    calls.report(
        entry,
        new LeaseOrder(usedToken, deadline, acknowledge, waits ? REPORT_WAIT : Duration.ZERO),
        ORDER_TIMEOUT,
        outcome -> {
          reporting = false;
          if (closed) {
            return;
          }
          switch (outcome) {
            case ReportOutcome.Reported reported -> receive(reported.report(), sentNanos);
            case ReportOutcome.Missing missing -> reportMissing(missing.order(), usedToken);
          }
        });
  }

  private void reportMissing(OrderOutcome order, long usedToken) {
    if (order instanceof OrderOutcome.Rejected rejected
        && rejected.reason() == OrderOutcome.Reason.FENCED) {
      listener.fenced(this, usedToken);
    }
    if (!suspect) {
      suspect = true;
      LOG.write(LogEvent.WORKER_SUSPECT, "worker", id(), "runs", runs.size(), "detail", order);
    }
    if (timer.nanoTime() - lastExtensionNanos > bounds.workerLeaseSurelyOver().toNanos()) {
      loseAllRuns("the worker's lease is over");
    }
    timer.after(listed ? RETRY_PAUSE : UNLISTED_PAUSE, this::report);
  }

  private void receive(WorkerReport report, long sentNanos) {
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
      ends.restart();
    }
    incarnation = report.incarnation();
    clock.restart(report.clockMillis());
    boolean first = !joined;
    if (suspect) {
      suspect = false;
      LOG.write(LogEvent.WORKER_RECOVERED, "worker", id(), "runs", runs.size());
    }
    joined = true;
    processEnds(report);
    processRunning(report, sentNanos);
    if (restarted) {
      runs.forEach(this::excludeUnconfirmed);
    }
    if (first) {
      listener.joined(this);
    }
    listener.roomGained(this);
    scheduleNextReport();
  }

  /**
   * Keeps a start that was under way when the worker started again from running in the new process,
   * unless it is at work there already. Runs that were confirmed before are lost, as the report
   * does not list them.
   */
  private void excludeUnconfirmed(TaskRun run, ActiveRun active) {
    if (!active.confirmed() && !active.stopping()) {
      active.doubt();
      sendStop(run);
    }
  }

  private void processEnds(WorkerReport report) {
    for (RunEnd end : report.ends()) {
      if (!ends.add(end.number())) {
        continue;
      }
      ActiveRun active = runs.get(end.run());
      Duration ranFor =
          active == null || !active.confirmed()
              ? Duration.ZERO
              : Duration.ofNanos(timer.nanoTime() - active.confirmedNanos());
      runs.forget(end.run());
      listener.ended(this, end, new EndReceipt(this, incarnation, end.number()), ranFor);
    }
  }

  private void processRunning(WorkerReport report, long sentNanos) {
    Set<TaskRun> atWork = new HashSet<>();
    for (WorkerReport.RunningTask running : report.running()) {
      atWork.add(running.run());
      ActiveRun known = runs.get(running.run());
      if (known == null) {
        meet(running.run());
      } else if (known.awaitsConfirmation()) {
        known.confirm(timer.nanoTime());
        listener.started(this, running.run());
      }
    }
    boolean complete = report.ends().size() < REPORT_LIMIT;
    runs.forEach(
        (run, active) -> {
          if (complete && !atWork.contains(run) && active.shouldHaveBeenSeen(sentNanos)) {
            runs.forget(run);
            listener.lost(this, run, "the worker does not know the run");
          }
        });
  }

  private void meet(TaskRun run) {
    RunListener.Found found = listener.found(this, run);
    boolean unclaimed = found.goesOn() && found.resources().equals(Resources.NONE);
    runs.add(run, ActiveRun.found(found.resources(), unclaimed, timer.nanoTime()));
    if (!found.goesOn()) {
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
    nextIdleReportNanos = timer.nanoTime() + IDLE_PAUSE.toNanos();
    timer.after(
        IDLE_PAUSE,
        () -> {
          if (!reporting && timer.nanoTime() - nextIdleReportNanos >= 0) {
            report();
          }
        });
  }

  private void loseAllRuns(String reason) {
    List<TaskRun> lost = List.copyOf(runs.all());
    lost.forEach(runs::forget);
    lost.forEach(run -> listener.lost(this, run, reason));
  }
}
