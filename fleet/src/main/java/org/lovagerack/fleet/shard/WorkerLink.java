package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
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

  /**
   * What becomes of a run that an earlier owner started.
   *
   * @param goesOn whether the run is kept
   * @param resources resources of the run, as far as they are known
   */
  record Found(boolean goesOn, Resources resources) {}

  /** Receives what happens to runs. */
  interface Listener {

    /** The worker has reported for the first time under this owner. */
    void joined(WorkerLink link);

    /** A run is at work that this link did not start. */
    Found found(WorkerLink link, TaskRun run);

    /** A run has ended; its receipt must be settled once the end is durable or does not matter. */
    void ended(WorkerLink link, RunEnd end, EndReceipt receipt, Duration ranFor);

    /** A run has certainly not ended as done and is not at work any more. */
    void lost(WorkerLink link, TaskRun run, String reason);

    /** A start was confirmed. */
    void started(WorkerLink link, TaskRun run);

    /** The worker has seen a higher fencing token than that of an order. */
    void fenced(WorkerLink link, long usedToken);

    /** The worker has more room than before. */
    void roomGained(WorkerLink link);

    /** Returns whether the owner may still extend the lease of the worker's runs. */
    boolean mayExtend(WorkerLink link);
  }

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

  /** Pause after a start without room; about the shortest task. */
  private static final Duration FULL_PAUSE = Duration.ofMillis(40);

  private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(250);
  private static final int AVOIDANCE_DOUBLINGS = 4;

  private static final EventLog LOG = new EventLog(WorkerLink.class);

  private final TimerService timer;
  private final WorkerCalls calls;
  private final FleetBounds bounds;
  private final LongSupplier token;
  private final ActiveTasks activeTasks;
  private final Listener listener;
  private final Map<TaskRun, ActiveRun> runs = new HashMap<>();
  private final TreeMap<Long, Boolean> listedEnds = new TreeMap<>();
  private WorkerEntry entry;
  private boolean listed = true;
  private long unlistedNanos;
  private boolean closed;
  private boolean joined;
  private boolean suspect;
  private boolean reporting;
  private boolean reportRequested;
  private long incarnation;
  private long clockMillis;
  private long clockReadNanos;
  private long lastExtensionNanos;
  private long acknowledgedThrough;
  private long processedThrough;
  private long nextIdleReportNanos;
  private long avoidUntilNanos;
  private int rejections;
  private Resources used = Resources.NONE;

  WorkerLink(
      TimerService timer,
      WorkerCalls calls,
      FleetBounds bounds,
      LongSupplier token,
      WorkerEntry entry,
      ActiveTasks activeTasks,
      Listener listener) {
    this.timer = timer;
    this.calls = calls;
    this.bounds = bounds;
    this.token = token;
    this.entry = entry;
    this.activeTasks = activeTasks;
    this.listener = listener;
    this.avoidUntilNanos = timer.nanoTime();
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
    return Collections.unmodifiableSet(runs.keySet());
  }

  /** Returns the resources that are free for tasks; nothing while the worker takes none. */
  Resources room() {
    return acceptsTasks() ? entry.capacity().minus(used) : Resources.NONE;
  }

  boolean acceptsTasks() {
    return serving() && !hasUnclaimedRuns() && timer.nanoTime() - avoidUntilNanos >= 0;
  }

  int runsOfStep(String jobId, int step) {
    int count = 0;
    for (TaskRun run : runs.keySet()) {
      if (run.task().jobId().equals(jobId) && run.task().step() == step) {
        count++;
      }
    }
    return count;
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
    ActiveRun active = new ActiveRun(resources, timer.nanoTime());
    add(run, active);
    lastExtensionNanos = timer.nanoTime();
    StartOrder order =
        new StartOrder(
            run,
            specification,
            workerClock() + bounds.longestWorkerLease().toMillis(),
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
    ActiveRun active = runs.get(run);
    if (active != null) {
      used = used.minus(active.resources).plus(resources);
      active.resources = resources;
      active.unclaimed = false;
    }
  }

  /**
   * Returns whether a run is at work whose job is not known. An earlier owner may count it as over
   * when the lease that it gave expires, so the lease must not be extended, and a start would.
   */
  private boolean hasUnclaimedRuns() {
    return runs.values().stream().anyMatch(run -> run.unclaimed);
  }

  /** Stops a run; its end is reported like any other. */
  void stop(TaskRun run) {
    ActiveRun active = runs.get(run);
    if (active != null && !active.stopping) {
      active.stopping = true;
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
    if (listedByIncarnation != incarnation || number <= acknowledgedThrough) {
      return;
    }
    listedEnds.put(number, true);
    while (!listedEnds.isEmpty() && listedEnds.firstEntry().getValue()) {
      acknowledgedThrough = listedEnds.pollFirstEntry().getKey();
    }
  }

  private void startAnswered(TaskRun run, ActiveRun active, long usedToken, OrderOutcome outcome) {
    switch (outcome) {
      case OrderOutcome.Done done -> {
        readClock(done.clockMillis());
        rejections = 0;
        active.confirmedNanos = timer.nanoTime();
        active.confirmed = true;
        listener.started(this, run);
      }
      case OrderOutcome.Rejected rejected -> startRejected(run, usedToken, rejected);
      case OrderOutcome.Unknown unknown -> {
        LOG.write(
            LogEvent.START_UNANSWERED, "task", run, "worker", id(), "detail", unknown.detail());
        // A stop also keeps a run from starting that has not arrived yet.
        active.stopping = true;
        active.doubtful = true;
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
    forget(run);
    long now = timer.nanoTime();
    switch (rejected.reason()) {
      case NO_ROOM -> avoidUntilNanos = now + FULL_PAUSE.toNanos();
      case EXPIRED, OTHER_INCARNATION -> {
        avoidUntilNanos = now + RETRY_PAUSE.toNanos();
        requestReport();
      }
      case UNAVAILABLE, MALFORMED -> {
        avoidUntilNanos =
            now + (FIRST_AVOIDANCE.toNanos() << Math.min(rejections, AVOIDANCE_DOUBLINGS));
        rejections++;
      }
      case SUPERSEDED -> {}
      case FENCED -> {
        avoidUntilNanos = now + RETRY_PAUSE.toNanos();
        listener.fenced(this, usedToken);
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
            readClock(done.clockMillis());
            active.stopConfirmed = true;
            active.stopConfirmedNanos = timer.nanoTime();
            requestReport();
          } else if (outcome instanceof OrderOutcome.Rejected rejected
              && rejected.reason() == OrderOutcome.Reason.FENCED) {
            listener.fenced(this, usedToken);
          } else {
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
            ? OptionalLong.of(workerClock() + bounds.longestWorkerLease().toMillis())
            : OptionalLong.empty();
    if (extend) {
      lastExtensionNanos = timer.nanoTime();
    }
    boolean waits = extend && runs.values().stream().noneMatch(run -> run.stopConfirmed);
    // Numbers of ends start anew in each incarnation, so a worker that may have started again is
    // not told to forget any.
    long acknowledge = joined && !suspect ? acknowledgedThrough : 0;
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
    if (joined && report.incarnation() != incarnation) {
      LOG.write(
          LogEvent.WORKER_RESTARTED,
          "worker",
          id(),
          "before",
          incarnation,
          "now",
          report.incarnation());
      listedEnds.clear();
      acknowledgedThrough = 0;
      processedThrough = 0;
      incarnation = report.incarnation();
      loseAllRuns("the worker has started again");
    }
    incarnation = report.incarnation();
    clockMillis = 0;
    readClock(report.clockMillis());
    boolean first = !joined;
    if (suspect) {
      suspect = false;
      LOG.write(LogEvent.WORKER_RECOVERED, "worker", id(), "runs", runs.size());
    }
    joined = true;
    processEnds(report);
    processRunning(report, sentNanos);
    if (first) {
      listener.joined(this);
    }
    listener.roomGained(this);
    scheduleNextReport();
  }

  private void processEnds(WorkerReport report) {
    for (RunEnd end : report.ends()) {
      if (end.number() <= processedThrough) {
        continue;
      }
      processedThrough = end.number();
      listedEnds.put(end.number(), false);
      ActiveRun active = runs.get(end.run());
      Duration ranFor =
          active == null || !active.confirmed
              ? Duration.ZERO
              : Duration.ofNanos(timer.nanoTime() - active.confirmedNanos);
      forget(end.run());
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
      } else if (!known.confirmed && !known.doubtful) {
        known.confirmed = true;
        known.confirmedNanos = timer.nanoTime();
        listener.started(this, running.run());
      }
    }
    boolean complete = report.ends().size() < REPORT_LIMIT;
    for (Map.Entry<TaskRun, ActiveRun> active : List.copyOf(runs.entrySet())) {
      if (complete
          && !atWork.contains(active.getKey())
          && active.getValue().shouldHaveBeenSeen(sentNanos)) {
        forget(active.getKey());
        listener.lost(this, active.getKey(), "the worker does not know the run");
      }
    }
  }

  private void meet(TaskRun run) {
    Found found = listener.found(this, run);
    ActiveRun active = new ActiveRun(found.resources(), timer.nanoTime());
    active.confirmed = true;
    active.confirmedNanos = timer.nanoTime();
    active.unclaimed = found.goesOn() && found.resources().equals(Resources.NONE);
    add(run, active);
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
    List<TaskRun> lost = new ArrayList<>(runs.keySet());
    lost.forEach(this::forget);
    lost.forEach(run -> listener.lost(this, run, reason));
  }

  private void add(TaskRun run, ActiveRun active) {
    runs.put(run, active);
    used = used.plus(active.resources);
    activeTasks.add(run.task());
  }

  private void forget(TaskRun run) {
    ActiveRun active = runs.remove(run);
    if (active != null) {
      activeTasks.remove(run.task());
      used = used.minus(active.resources);
    }
  }

  private void readClock(long workerMillis) {
    if (workerMillis >= workerClock()) {
      clockMillis = workerMillis;
      clockReadNanos = timer.nanoTime();
    }
  }

  /** Returns a time that the worker's clock has certainly reached. */
  private long workerClock() {
    if (clockMillis == 0) {
      return 0;
    }
    long elapsed = Duration.ofNanos(timer.nanoTime() - clockReadNanos).toMillis();
    return clockMillis + elapsed * 49 / 50;
  }

  private static final class ActiveRun {
    private Resources resources;
    private final long orderedNanos;
    private boolean confirmed;
    private long confirmedNanos;
    private boolean doubtful;
    private boolean unclaimed;
    private boolean stopping;
    private boolean stopConfirmed;
    private long stopConfirmedNanos;

    ActiveRun(Resources resources, long orderedNanos) {
      this.resources = resources;
      this.orderedNanos = orderedNanos;
    }

    /** Returns whether a report asked for at a time must list the run unless it is not there. */
    boolean shouldHaveBeenSeen(long sentNanos) {
      if (stopConfirmed) {
        return sentNanos - stopConfirmedNanos > 0;
      }
      return confirmed && sentNanos - confirmedNanos > 0 && sentNanos - orderedNanos > 0;
    }
  }
}
