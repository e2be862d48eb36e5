package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;
import org.lovagerack.foundation.timer.TimerService;

/** Places queued tasks on workers with free resources, in queue order. */
final class Placer {

  /** Share of workers that must remain when unreliable ones are left out. */
  private static final double MIN_USABLE_SHARE = 0.5;

  private static final EventLog LOG = new EventLog(Placer.class);

  private final TimerService timer;
  private final ConfigurationHolder configuration;
  private final JobRegistry registry;
  private final WorkerSpeeds speeds;
  private final WorkerReliability reliability;
  private final LossTracker losses;
  private final Suitability suitability;
  private final ColdStart coldStart;
  private final Predicate<Job> mayStart;
  private final Optional<LookAhead> lookAhead;
  private WorkerSessions sessions;
  private boolean requested;

  /**
   * Creates a placer.
   *
   * @param mayStart returns whether tasks of a job may start now
   * @param lookAhead decides beside {@link Placement} if look-ahead placement is set
   */
  Placer(
      TimerService timer,
      ConfigurationHolder configuration,
      JobRegistry registry,
      WorkerSpeeds speeds,
      WorkerReliability reliability,
      LossTracker losses,
      Suitability suitability,
      ColdStart coldStart,
      Predicate<Job> mayStart,
      Optional<LookAhead> lookAhead) {
    this.timer = timer;
    this.configuration = configuration;
    this.registry = registry;
    this.speeds = speeds;
    this.reliability = reliability;
    this.losses = losses;
    this.suitability = suitability;
    this.coldStart = coldStart;
    this.mayStart = mayStart;
    this.lookAhead = lookAhead;
  }

  void use(WorkerSessions workerSessions) {
    sessions = workerSessions;
  }

  /** Schedules a placement after the current event has been handled. */
  void request() {
    if (!requested) {
      requested = true;
      timer.after(
          Duration.ZERO,
          () -> {
            requested = false;
            place();
          });
    }
  }

  private void place() {
    Map<String, List<WorkerSession>> workersOfServices = new HashMap<>();
    PlacementPass pass = new PlacementPass();
    lookAhead.ifPresent(LookAhead::beginPass);
    for (Job job : registry.queue().inOrder(timer.nanoTime())) {
      try {
        if (mayStart.test(job)) {
          place(job, workersOfServices, pass);
        }
      } catch (RuntimeException e) {
        // The jobs behind it must not wait for it.
        LOG.write(LogEvent.UNEXPECTED_ERROR, e, "job", job.id());
      }
    }
    lookAhead.ifPresent(LookAhead::endPass);
  }

  private void place(
      Job job, Map<String, List<WorkerSession>> workersOfServices, PlacementPass pass) {
    String service = service(job);
    List<WorkerSession> workers = workersOfServices.computeIfAbsent(service, this::usableWorkers);
    boolean placedAll = true;
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.WAITING) {
        placedAll &= job.isReady(task) && place(task, service, workers, pass);
      }
    }
    if (placedAll) {
      registry.queue().remove(job);
    }
  }

  /** Returns the workers of a service without the paused ones, unless too few would remain. */
  private List<WorkerSession> usableWorkers(String service) {
    List<WorkerSession> workers =
        sessions.all().stream()
            .filter(session -> session.entry().service().equals(service))
            .toList();
    List<WorkerSession> usable =
        workers.stream().filter(session -> !reliability.paused(session.id())).toList();
    return usable.size() >= workers.size() * MIN_USABLE_SHARE ? usable : workers;
  }

  /** Returns whether the task could run on a worker on which it has not failed. */
  private boolean hasAlternative(Task task, String service, List<WorkerSession> workers) {
    return workers.stream()
        .anyMatch(
            session ->
                session.serving()
                    && !task.failedOn().contains(session.id())
                    && suitability.canRun(service, task.step(), session.entry()));
  }

  /**
   * Returns the configured service of the job's queue, or its last one if the queue was removed.
   */
  String service(Job job) {
    return configuration
        .inForce()
        .flatMap(current -> current.queue(job.queue().name()))
        .map(Queue::service)
        .orElse(job.queue().service());
  }

  private boolean place(
      Task task, String service, List<WorkerSession> workers, PlacementPass pass) {
    if (!pass.mayFit(service, task.step())
        || sessions.mayBeRunning(task.id())
        || lookAhead.filter(ahead -> ahead.equalToUnplaced(task)).isPresent()) {
      lookAhead
          .filter(ahead -> !sessions.mayBeRunning(task.id()))
          .ifPresent(ahead -> ahead.reserve(task, service, workers));
      return false;
    }
    RestartPolicy.Decision decision = losses.decide(task);
    boolean alone = decision == RestartPolicy.Decision.START_ALONE;
    if (!alone && decision != RestartPolicy.Decision.START) {
      return false;
    }
    // A task that has failed on a worker waits for another one, so that it does not use up its
    // attempts on a worker that fails every run and is therefore often free.
    boolean avoidFailed = !task.failedOn().isEmpty() && hasAlternative(task, service, workers);
    List<WorkerSession> eligible = new ArrayList<>();
    List<Candidate> candidates = new ArrayList<>();
    List<WorkerSession> open =
        lookAhead.map(ahead -> ahead.openWorkers(task, service, workers)).orElse(workers);
    boolean withheld = false;
    for (WorkerSession session : open) {
      Resources freeResources = session.freeResources();
      if (task.step().request().fitsIn(freeResources)
          && !(avoidFailed && task.failedOn().contains(session.id()))) {
        if (mayStartNow(task, session, freeResources)) {
          eligible.add(session);
          candidates.add(candidate(task, session, freeResources));
        } else {
          withheld = true;
        }
      }
    }
    int chosen =
        lookAhead
            .map(ahead -> ahead.choose(task, alone, service, workers, candidates))
            .orElseGet(() -> Placement.choose(task.step(), alone, candidates));
    if (chosen == Placement.NONE) {
      // A more urgent task may still start on a cold worker that was withheld from this one.
      if (task.failedOn().isEmpty()
          && !withheld
          && lookAhead.filter(LookAhead::fitsSomewhere).isEmpty()) {
        pass.reject(service, task.step());
      }
      lookAhead.ifPresent(ahead -> ahead.reserve(task, service, workers));
      return false;
    }
    WorkerSession session = eligible.get(chosen);
    TaskRun run = new TaskRun(task.id(), task.job().nextRunNumber());
    task.assign(run, session);
    session.start(
        run,
        task.job().submitted().spec().specification(),
        task.step().request(),
        !task.job().bestEffort(),
        alone);
    lookAhead.ifPresent(ahead -> ahead.placed(task, service, session, workers));
    return true;
  }

  private boolean mayStartNow(Task task, WorkerSession session, Resources freeResources) {
    return !coldStart.isCold(session.id())
        || coldStart.mayStart(
            session.id(),
            task.step().request(),
            freeResources,
            session.entry().capacity(),
            task.job().estimatedCriticalPath(),
            TaskQueue.timeLeft(task.job(), timer.nanoTime()));
  }

  private Candidate candidate(Task task, WorkerSession session, Resources freeResources) {
    int tasksOfStep =
        task.step().maxPerWorker() == 0 ? 0 : session.runsOfStep(task.job().id(), task.id().step());
    return new Candidate(
        freeResources,
        session.entry().labels(),
        speeds.speed(session.id())
            / coldStart.slowdown(session.id(), task.step().estimatedDuration()),
        coldStart.isCold(session.id()),
        reliability.unreliable(session.id()),
        task.failedOn().contains(session.id()),
        !session.runs().isEmpty(),
        tasksOfStep);
  }
}
