package org.lovagerack.fleet.shard;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagerack.fleet.job.LostRun;
import org.lovagerack.fleet.job.StepSpec;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.worker.WorkerCalls;
import org.lovagerack.fleet.worker.WorkerDirectory;
import org.lovagerack.fleet.worker.WorkerEntry;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.timer.TimerService;

/** Sessions with all workers that the directory lists or that may still have active runs. */
final class WorkerSessions {

  private final TimerService timer;
  private final WorkerCalls calls;
  private final WorkerDirectory directory;
  private final Predicate<WorkerId> mayUse;
  private final FleetBounds bounds;
  private final LongSupplier token;
  private final BooleanSupplier workersListed;
  private final Suitability suitability;
  private final ColdStart coldStart;
  private final RunListener listener;
  private final Runnable onDirectoryChange;
  private final Map<String, WorkerSession> sessions = new TreeMap<>();
  private final Consumer<WorkerId> directoryListener = this::directoryChanged;
  private final ActiveTasks activeTasks = new ActiveTasks();
  private final ResponseTimes responseTimes = new ResponseTimes();
  private FormerWorkers formerWorkers = FormerWorkers.incomplete(List.of());
  private boolean opened;
  private long version;

  /**
   * Creates the sessions of a controller; no request is sent before {@link #open}.
   *
   * @param mayUse selects the workers of the shard
   * @param workersListed returns whether the directory has been read since the start of the owner
   * @param onDirectoryChange called after each change of the directory
   */
  WorkerSessions(
      TimerService timer,
      WorkerCalls calls,
      WorkerDirectory directory,
      Predicate<WorkerId> mayUse,
      FleetBounds bounds,
      LongSupplier token,
      BooleanSupplier workersListed,
      Suitability suitability,
      ColdStart coldStart,
      RunListener listener,
      Runnable onDirectoryChange) {
    this.timer = timer;
    this.calls = calls;
    this.directory = directory;
    this.mayUse = mayUse;
    this.bounds = bounds;
    this.token = token;
    this.workersListed = workersListed;
    this.suitability = suitability;
    this.coldStart = coldStart;
    this.listener = listener;
    this.onDirectoryChange = onDirectoryChange;
  }

  /**
   * Sets the workers that former owners may have used. The directory may no longer list some of
   * them because their entries expired while they could not reach the store.
   */
  void setFormerWorkers(FormerWorkers former) {
    formerWorkers = former;
  }

  /**
   * Requests the first report from all workers, and from workers added later when they are added.
   */
  void open() {
    opened = true;
    version++;
    directory.addListener(directoryListener);
    directory.entries().forEach(this::add);
    for (WorkerEntry entry : formerWorkers.workers()) {
      if (mayUse.test(entry.id()) && !sessions.containsKey(entry.id().value())) {
        add(entry);
        sessions.get(entry.id().value()).markUnlisted();
      }
    }
  }

  void close() {
    directory.removeListener(directoryListener);
    sessions.values().forEach(WorkerSession::close);
  }

  /**
   * Removes the unlisted workers without runs whose retention has passed and calls back for each.
   */
  void removeUnlisted(Consumer<WorkerId> onRemoved) {
    for (WorkerSession session : all()) {
      if (session.isRemovable()) {
        session.close();
        sessions.remove(session.id().value());
        version++;
        onRemoved.accept(session.id());
      }
    }
  }

  /** Returns whether a run of the task may be active on some worker. */
  boolean mayBeRunning(TaskId task) {
    return activeTasks.contains(task);
  }

  /**
   * Returns the workers that are listed, or those that are not listed and may have active runs.
   * Before the sessions are opened, the latter include all workers that former owners used.
   */
  Collection<WorkerEntry> entries(boolean listed) {
    if (!opened) {
      return listed
          ? List.of()
          : formerWorkers.workers().stream().filter(entry -> mayUse.test(entry.id())).toList();
    }
    return sessions.values().stream()
        .filter(session -> session.listed() == listed)
        .map(WorkerSession::entry)
        .toList();
  }

  /** Returns a number that grows when {@link #entries} changes other than in a cold time. */
  long version() {
    return version;
  }

  /**
   * Returns whether there is a session with every worker that a former owner may have used: those
   * that it is known to have used, and those that were listed when this owner started.
   */
  boolean knowAllWorkers() {
    return opened && formerWorkers.complete() && workersListed.getAsBoolean();
  }

  Collection<WorkerSession> all() {
    return List.copyOf(sessions.values());
  }

  /** Returns what became of the worker process that executed a lost run. */
  WorkerFate fate(LostRun lost) {
    WorkerSession session = sessions.get(lost.worker());
    if (session != null && session.joined() && !session.suspect()) {
      return session.incarnation() == lost.incarnation() ? WorkerFate.RUNNING : WorkerFate.ENDED;
    }
    boolean replaced =
        directory.entries().stream()
            .anyMatch(
                entry ->
                    entry.address().equals(lost.address())
                        && lost.incarnation() > 0
                        && entry.incarnation() > lost.incarnation());
    return replaced || (session != null && session.processEnded())
        ? WorkerFate.ENDED
        : WorkerFate.UNKNOWN;
  }

  /** Returns whether there are workers and all of them have reported to this owner. */
  boolean allJoined() {
    return opened
        && !sessions.isEmpty()
        && sessions.values().stream().allMatch(WorkerSession::joined);
  }

  /** Returns whether there are workers and all that they held has been read. */
  boolean allReported() {
    return opened
        && !sessions.isEmpty()
        && sessions.values().stream().allMatch(WorkerSession::reportedAll);
  }

  /** Returns whether a worker may hold results of former owners that have not been read. */
  boolean anyUnreadResults() {
    return sessions.values().stream().anyMatch(WorkerSession::mayHoldUnreadResults);
  }

  /**
   * Returns whether every worker that a former owner may have used has reported all its runs and
   * results.
   */
  boolean allRunsReported() {
    return knowAllWorkers()
        && allReported()
        && sessions.values().stream().noneMatch(WorkerSession::suspect);
  }

  /**
   * Returns whether a listed worker of the shard can run the tasks of a step, now or when it has
   * ended others or answers again.
   */
  boolean canRun(String service, StepSpec step) {
    return sessions.values().stream()
        .anyMatch(
            session -> session.listed() && suitability.canRun(service, step, session.entry()));
  }

  /**
   * Returns whether no listed worker of the shard can run the tasks of a step, nor one that still
   * reports although its entry has expired, as entries do while the platform's store is down.
   */
  boolean noneCanRun(String service, StepSpec step) {
    return workersListed.getAsBoolean()
        && sessions.values().stream()
            .noneMatch(
                session ->
                    (session.listed() || (session.joined() && !session.suspect()))
                        && suitability.canRun(service, step, session.entry()));
  }

  /**
   * Returns the cores of the workers that serve a service, weighted by worker speed and reduced
   * while a worker is cold.
   */
  double capacity(String service, WorkerSpeeds speeds) {
    double cores = 0;
    for (WorkerSession session : sessions.values()) {
      if (session.entry().service().equals(service) && session.serving()) {
        cores +=
            session.entry().capacity().cpuMillicores()
                / 1000.0
                * speeds.speed(session.id())
                * coldStart.usableShare(session.id());
      }
    }
    return cores;
  }

  private void directoryChanged(WorkerId id) {
    if (!mayUse.test(id)) {
      return;
    }
    Optional<WorkerEntry> entry = directory.find(id);
    WorkerSession session = sessions.get(id.value());
    boolean onlyColdTime =
        entry.isPresent()
            && session != null
            && session.listed()
            && session.entry().equalsExceptColdTime(entry.get());
    if (!onlyColdTime) {
      version++;
    }
    entry.ifPresent(coldStart::entryArrived);
    if (entry.isPresent() && session == null) {
      add(entry.get());
    } else if (entry.isPresent()) {
      session.update(entry.get());
    } else if (session != null) {
      session.markUnlisted();
    }
    onDirectoryChange.run();
  }

  private void add(WorkerEntry entry) {
    if (mayUse.test(entry.id()) && !sessions.containsKey(entry.id().value())) {
      coldStart.entryArrived(entry);
      WorkerSession session =
          new WorkerSession(
              timer,
              calls,
              bounds,
              token,
              responseTimes,
              suitability,
              entry,
              activeTasks,
              listener);
      sessions.put(entry.id().value(), session);
      session.open();
    }
  }
}
