package org.lovagerack.fleet.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Look-ahead for the placement of tasks: selects the workers that a task may use beside the
 * reservations of others, chooses among them, and reserves a worker if there is none. Reads each
 * worker once per pass, because a long queue makes the comparisons with workers the main cost.
 */
final class LookAhead {

  private record ForecastSession(
      WorkerSession session, WorkerForecast forecast, boolean unreliable) {}

  private final TimerService timer;
  private final WorkerSpeeds speeds;
  private final WorkerReliability reliability;
  private final Suitability suitability;
  private final ExpectedEnds expectedEnds;
  private final Reservations reservations;
  private final Map<String, List<ForecastSession>> workersOfServices = new HashMap<>();
  private Task lastUnplaced;
  private boolean lastReservable;
  private boolean fitsSomewhere;

  LookAhead(
      TimerService timer,
      WorkerSpeeds speeds,
      WorkerReliability reliability,
      Suitability suitability,
      ExpectedEnds expectedEnds,
      Reservations reservations) {
    this.timer = timer;
    this.speeds = speeds;
    this.reliability = reliability;
    this.suitability = suitability;
    this.expectedEnds = expectedEnds;
    this.reservations = reservations;
  }

  void beginPass() {
    workersOfServices.clear();
    lastUnplaced = null;
    reservations.beginPass(timer.nanoTime());
  }

  void endPass() {
    reservations.endPass();
  }

  /**
   * Returns whether an equal task of the same job was not placed just before. Free resources only
   * shrink during a pass.
   */
  boolean equalToUnplaced(Task task) {
    return lastUnplaced != null
        && lastUnplaced.job() == task.job()
        && lastUnplaced.id().step() == task.id().step()
        && task.step().maxPerWorker() == 0
        && lastUnplaced.failedOn().equals(task.failedOn());
  }

  /**
   * Returns the workers with enough free resources on which the task delays no reservation. If it
   * would meet its objective on none of them, also those whose reservation it may delay.
   */
  List<WorkerSession> openWorkers(Task task, String service, List<WorkerSession> usable) {
    List<WorkerSession> open = new ArrayList<>();
    List<WorkerSession> delaying = new ArrayList<>();
    boolean meetsObjective = false;
    fitsSomewhere = false;
    Resources request = task.step().request();
    long now = timer.nanoTime();
    for (ForecastSession worker : forecasts(service, usable)) {
      WorkerForecast forecast = worker.forecast();
      if (request.fitsIn(forecast.free())) {
        fitsSomewhere = true;
        if (reservations.allows(task, forecast, now)) {
          open.add(worker.session());
          meetsObjective |= ObjectiveMargin.meets(task, forecast.speed(), now);
        } else if (reservations.mayDelay(task, forecast, now)) {
          delaying.add(worker.session());
        }
      }
    }
    if (!meetsObjective) {
      open.addAll(delaying);
    }
    return open;
  }

  /** Returns whether a worker had enough free resources for the last task, whoever may use it. */
  boolean fitsSomewhere() {
    return fitsSomewhere;
  }

  /** Returns the index of the candidate to use, or {@link Placement#NONE}. */
  int choose(
      Task task,
      boolean alone,
      String service,
      List<WorkerSession> usable,
      List<Candidate> candidates) {
    int usual = Placement.choose(task.step(), alone, candidates);
    boolean otherRulesDecide =
        alone
            || !task.failedOn().isEmpty()
            || task.step().maxPerWorker() > 0
            || !task.step().requiredLabel().isEmpty()
            || !task.step().dataRack().isEmpty();
    return usual == Placement.NONE || otherRulesDecide
        ? usual
        : FittingWorker.choose(
            task,
            candidates,
            usual,
            () -> speedsOfSuitable(task, service, usable),
            timer.nanoTime());
  }

  private double[] speedsOfSuitable(Task task, String service, List<WorkerSession> usable) {
    return forecasts(service, usable).stream()
        .filter(worker -> !worker.unreliable() && isSuitable(task, service, worker.session()))
        .mapToDouble(worker -> worker.forecast().speed())
        .toArray();
  }

  private boolean isSuitable(Task task, String service, WorkerSession session) {
    return suitability.canRun(service, task.step(), session.entry())
        && !task.failedOn().contains(session.id());
  }

  /** Records the placement of a task. */
  void placed(Task task, String service, WorkerSession session, List<WorkerSession> usable) {
    for (ForecastSession worker : forecasts(service, usable)) {
      if (worker.session() == session) {
        reservations.placed(task, worker.forecast(), timer.nanoTime());
        worker.forecast().take(task.step().request());
      }
    }
  }

  /** Reserves a worker for a task that could not be placed, if its job can meet its objective. */
  void reserve(Task task, String service, List<WorkerSession> usable) {
    boolean known = equalToUnplaced(task);
    lastUnplaced = task;
    if (!reservations.mayReserve(task)
        || (known && !lastReservable)
        // With a limit per worker, a start depends on the other tasks of the job.
        || task.step().maxPerWorker() > 0
        || ObjectiveMargin.latestStartNanos(task) < timer.nanoTime()) {
      return;
    }
    List<WorkerForecast> suitable = new ArrayList<>();
    for (ForecastSession worker : forecasts(service, usable)) {
      if (isSuitable(task, service, worker.session())) {
        suitable.add(worker.forecast());
      }
    }
    lastReservable = reservations.reserve(task, suitable, timer.nanoTime());
  }

  private List<ForecastSession> forecasts(String service, List<WorkerSession> usable) {
    return workersOfServices.computeIfAbsent(
        service,
        key ->
            usable.stream()
                .filter(WorkerSession::acceptsTasks)
                .map(
                    session ->
                        new ForecastSession(
                            session,
                            new WorkerForecast(
                                session.id(),
                                session.freeResources(),
                                speeds.speed(session.id()),
                                () -> expectedEnds.of(session, timer.nanoTime())),
                            reliability.unreliable(session.id())))
                .toList());
  }
}
