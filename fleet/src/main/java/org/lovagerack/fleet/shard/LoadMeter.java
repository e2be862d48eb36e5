package org.lovagerack.fleet.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lovagerack.fleet.job.Resources;
import org.lovagerack.fleet.job.StepSpec;

/** Measures the load of a shard, for the decision whether a job is redirected to it or from it. */
final class LoadMeter {

  /** Weight of a new job in the average task size, which reflects about twenty jobs. */
  private static final double SIZE_WEIGHT = 0.05;

  private final WorkerSessions sessions;
  private final JobRegistry registry;
  private final Placer placer;
  private final ColdStart coldStart;

  /** Average request of the tasks of each service, in processor millicores. */
  private final Map<String, Double> taskSizes = new HashMap<>();

  LoadMeter(WorkerSessions sessions, JobRegistry registry, Placer placer, ColdStart coldStart) {
    this.sessions = sessions;
    this.registry = registry;
    this.placer = placer;
    this.coldStart = coldStart;
  }

  /** Records the size of the tasks of a new job. */
  void observe(String service, StepSpec step) {
    taskSizes.merge(
        service,
        (double) step.request().cpuMillicores(),
        (average, size) -> average + SIZE_WEIGHT * (size - average));
  }

  /** Returns the services with jobs so far. */
  Set<String> services() {
    return taskSizes.keySet();
  }

  /** Returns the load of a service. */
  ShardLoad measure(int shard, String service) {
    double size = Math.max(1, taskSizes.getOrDefault(service, 1.0));
    int free = 0;
    int capacity = 0;
    for (WorkerSession session : sessions.all()) {
      if (session.entry().service().equals(service) && session.serving()) {
        double share = coldStart.usableShare(session.id());
        free += (int) (tasks(session.freeResources(), size) * share);
        capacity += (int) (tasks(session.entry().capacity(), size) * share);
      }
    }
    long waiting = registry.queue().waitingTasks(job -> placer.service(job).equals(service));
    return new ShardLoad(
        shard, service, free, (int) Math.min(waiting, Integer.MAX_VALUE), capacity);
  }

  private static int tasks(Resources resources, double size) {
    return (int) Math.min(resources.cpuMillicores() / size, Short.MAX_VALUE);
  }
}
