package org.lovagerack.fleet.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.fleet.job.TaskId;
import org.lovagerack.fleet.worker.WorkerId;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Workers that are reserved for tasks that fit nowhere now. Each pass over the queue renews the
 * reservations in queue order, so that an overdue run moves them. One that is not renewed is
 * dropped.
 */
final class Reservations {

  /**
   * Reservations of a shard at the same time, a fifth of its 40 workers. In trials, 4 gained less
   * than 8, and 24 less than 12.
   */
  static final int MAX_RESERVATIONS = 8;

  /** Limit below which an earlier start elsewhere does not move a reservation. */
  private static final long MIN_GAIN_NANOS = 5_000_000;

  private static final EventLog LOG = new EventLog(Reservations.class);

  /** Why a reservation ended before its task was placed. */
  private enum DropReason {
    /** The worker is lost, draining, paused, evacuated or accepts no tasks. */
    WORKER_UNAVAILABLE,
    /** The job can no longer meet its objective, or has ended. */
    OBJECTIVE,
    /** No worker is expected to let the task meet its objective, or it may not start now. */
    NOT_RENEWED
  }

  private record Reservation(Task task, WorkerForecast worker, WorkerForecast.Start start) {}

  private final JobCounters counters;
  private final Map<TaskId, Reservation> held = new HashMap<>();
  private final Map<WorkerId, Reservation> reservedInPass = new HashMap<>();
  private final Set<TaskId> keptInPass = new HashSet<>();

  Reservations(JobCounters counters) {
    this.counters = counters;
  }

  /** Carries the reservations over from the last pass whose jobs can still meet their objective. */
  void beginPass(long nowNanos) {
    reservedInPass.clear();
    keptInPass.clear();
    for (Iterator<Reservation> all = held.values().iterator(); all.hasNext(); ) {
      Reservation reservation = all.next();
      Task task = reservation.task();
      if (task.phase() == Task.Phase.WAITING
          && task.job().phase() == Job.Phase.ACTIVE
          && ObjectiveMargin.latestStartNanos(task) >= nowNanos) {
        reservedInPass.put(reservation.worker().worker(), reservation);
      } else {
        all.remove();
        dropped(reservation, DropReason.OBJECTIVE);
      }
    }
  }

  /** Drops the reservations that were not renewed in the pass. */
  void endPass() {
    if (keptInPass.size() == held.size()) {
      return;
    }
    for (Iterator<Reservation> all = held.values().iterator(); all.hasNext(); ) {
      Reservation reservation = all.next();
      if (!keptInPass.contains(reservation.task().id())) {
        all.remove();
        dropped(reservation, DropReason.NOT_RENEWED);
      }
    }
  }

  /** Returns whether a task can have a reservation, given the limit of the shard. */
  boolean mayReserve(Task task) {
    return held.size() < MAX_RESERVATIONS || held.containsKey(task.id());
  }

  /**
   * Returns whether a task that starts on a worker now delays no reservation: it is expected to end
   * before the reservation starts, or leaves enough resources for it.
   */
  boolean allows(Task task, WorkerForecast worker, long nowNanos) {
    Reservation reservation = reservedInPass.get(worker.worker());
    return reservation == null
        || reservation.task() == task
        || endsBefore(reservation, task, worker, nowNanos)
        || task.step().request().fitsIn(reservation.start().spare());
  }

  /**
   * Returns whether a task may delay the reservation of a worker, because it would miss its own
   * objective if it waited until the reserved task has ended.
   */
  boolean mayDelay(Task task, WorkerForecast worker, long nowNanos) {
    Reservation reservation = reservedInPass.get(worker.worker());
    long latestStart = ObjectiveMargin.latestStartNanos(task);
    long estimated = reservation.task().step().estimatedDuration().toNanos();
    return latestStart >= nowNanos
        && latestStart < reservation.start().nanos() + worker.durationNanos(estimated);
  }

  private static boolean endsBefore(
      Reservation reservation, Task task, WorkerForecast worker, long nowNanos) {
    long estimated = task.step().estimatedDuration().toNanos();
    return nowNanos + worker.durationNanos(estimated) <= reservation.start().nanos();
  }

  /** Records that a task is placed on a worker, and ends its reservation, if any. */
  void placed(Task task, WorkerForecast worker, long nowNanos) {
    Reservation own = held.remove(task.id());
    if (own != null) {
      reservedInPass.remove(own.worker().worker());
      counters.reservationKept();
    }
    Reservation reservation = reservedInPass.get(worker.worker());
    if (reservation != null) {
      counters.taskBackfilled();
      if (!endsBefore(reservation, task, worker, nowNanos)) {
        reservedInPass.put(
            worker.worker(),
            new Reservation(
                reservation.task(),
                reservation.worker(),
                new WorkerForecast.Start(
                    reservation.start().nanos(),
                    reservation.start().spare().minus(task.step().request()))));
      }
    }
  }

  /**
   * Reserves the worker where a task can start first among those on which it is expected to meet
   * its objective; returns whether there is one.
   *
   * @param workers workers that accept the task when they have enough free resources
   */
  boolean reserve(Task task, List<WorkerForecast> workers, long nowNanos) {
    Reservation former = held.get(task.id());
    if (former != null) {
      reservedInPass.remove(former.worker().worker());
    }
    Reservation best = null;
    boolean formerAvailable = false;
    long bestNanos = Long.MAX_VALUE;
    for (WorkerForecast worker : workers) {
      boolean isFormer = former != null && worker.worker().equals(former.worker().worker());
      formerAvailable |= isFormer;
      if (reservedInPass.containsKey(worker.worker())) {
        continue;
      }
      WorkerForecast.Start start = worker.earliestStart(task.step().request(), nowNanos);
      if (start == null || !ObjectiveMargin.meets(task, worker.speed(), start.nanos())) {
        continue;
      }
      long comparedNanos = start.nanos() - (isFormer ? MIN_GAIN_NANOS : 0);
      if (comparedNanos < bestNanos) {
        best = new Reservation(task, worker, start);
        bestNanos = comparedNanos;
      }
    }
    if (former != null && !formerAvailable) {
      held.remove(task.id());
      dropped(former, DropReason.WORKER_UNAVAILABLE);
    }
    if (best == null) {
      return false;
    }
    if (held.put(task.id(), best) == null) {
      made(best, nowNanos);
    }
    keptInPass.add(task.id());
    reservedInPass.put(best.worker().worker(), best);
    return true;
  }

  private void made(Reservation reservation, long nowNanos) {
    counters.reservationMade();
    LOG.write(
        LogEvent.RESERVATION_MADE,
        "task",
        reservation.task().id(),
        "worker",
        reservation.worker().worker(),
        "startsInMillis",
        (reservation.start().nanos() - nowNanos) / 1_000_000);
  }

  private void dropped(Reservation reservation, DropReason reason) {
    counters.reservationDropped();
    LOG.write(
        LogEvent.RESERVATION_DROPPED,
        "task",
        reservation.task().id(),
        "worker",
        reservation.worker().worker(),
        "reason",
        reason);
  }
}
