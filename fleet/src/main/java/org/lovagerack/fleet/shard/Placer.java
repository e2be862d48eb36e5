package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.lovagerack.fleet.configuration.ConfigurationHolder;
import org.lovagerack.fleet.configuration.Queue;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.TaskRun;
import org.lovagerack.foundation.timer.TimerService;

/** Places waiting tasks on workers with room, in the order of the queue. */
final class Placer {

  private final TimerService timer;
  private final ConfigurationHolder configuration;
  private final JobBook book;
  private final WorkerSpeeds speeds;
  private final Predicate<Job> mayStart;
  private WorkerLinks links;
  private boolean requested;

  /**
   * Creates a placer.
   *
   * @param mayStart whether tasks of a job may start now
   */
  Placer(
      TimerService timer,
      ConfigurationHolder configuration,
      JobBook book,
      WorkerSpeeds speeds,
      Predicate<Job> mayStart) {
    this.timer = timer;
    this.configuration = configuration;
    this.book = book;
    this.speeds = speeds;
    this.mayStart = mayStart;
  }

  void use(WorkerLinks workerLinks) {
    links = workerLinks;
  }

  /** Places tasks when the present event has been handled. */
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
    Collection<WorkerLink> workers = links.all();
    for (Job job : book.queue().inOrder(timer.nanoTime())) {
      if (!mayStart.test(job)) {
        continue;
      }
      String service = service(job);
      boolean placedAll = true;
      for (Task task : job.tasks()) {
        if (task.phase() == Task.Phase.WAITING) {
          placedAll &= job.ready(task) && place(task, service, workers);
        }
      }
      if (placedAll) {
        book.queue().remove(job);
      }
    }
  }

  /** Returns the service that the queue names now; a queue that is gone keeps its last one. */
  private String service(Job job) {
    return configuration
        .inForce()
        .flatMap(current -> current.queue(job.queue().name()))
        .map(Queue::service)
        .orElse(job.queue().service());
  }

  private boolean place(Task task, String service, Collection<WorkerLink> workers) {
    if (links.mayBeAtWork(task.id())) {
      return false;
    }
    List<WorkerLink> eligible = new ArrayList<>();
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerLink link : workers) {
      if (link.entry().service().equals(service)) {
        Resources room = link.room();
        if (task.step().request().fitsIn(room)) {
          eligible.add(link);
          candidates.add(candidate(task, link, room));
        }
      }
    }
    int chosen = Placement.choose(task.step(), candidates);
    if (chosen == Placement.NONE) {
      return false;
    }
    WorkerLink link = eligible.get(chosen);
    TaskRun run = new TaskRun(task.id(), task.job().takeRunNumber());
    task.assign(run, link);
    link.start(run, task.job().submitted().spec().specification(), task.step().request());
    return true;
  }

  private Candidate candidate(Task task, WorkerLink link, Resources room) {
    int tasksOfStep =
        task.step().maxPerWorker() == 0 ? 0 : link.runsOfStep(task.job().id(), task.id().step());
    return new Candidate(
        room,
        link.entry().labels(),
        speeds.speed(link.id()),
        speeds.distrusted(link.id()),
        task.failedOn().contains(link.id()),
        tasksOfStep);
  }
}
