package org.lovagerack.fleet.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Jobs with tasks to place, the one whose objective ends first in front. With one exception: a job
 * that can no longer meet its objective stands behind all that still can.
 */
final class TaskQueue {

  private static final Comparator<Job> ORDER =
      Comparator.comparingLong(TaskQueue::due).thenComparing(Job::id);

  private final NavigableSet<Job> jobs = new TreeSet<>(ORDER);

  void add(Job job) {
    jobs.add(job);
  }

  void remove(Job job) {
    jobs.remove(job);
  }

  /** Returns the jobs in the order in which their tasks are to be placed. */
  List<Job> inOrder(long nowNanos) {
    List<Job> inTime = new ArrayList<>();
    List<Job> late = new ArrayList<>();
    for (Job job : jobs) {
      (canMeetObjective(job, nowNanos) ? inTime : late).add(job);
    }
    late.sort(Comparator.comparingInt((Job job) -> job.queue().priority()).thenComparing(ORDER));
    inTime.addAll(late);
    return inTime;
  }

  /**
   * Returns the waiting work that is placed before a job that can still meet its objective,
   * core-seconds.
   */
  double workBefore(Job job, long nowNanos) {
    double work = 0;
    for (Job earlier : jobs.headSet(job)) {
      if (canMeetObjective(earlier, nowNanos)) {
        work += waitingWork(earlier);
      }
    }
    return work;
  }

  private static double waitingWork(Job job) {
    double work = 0;
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.WAITING) {
        work += work(task);
      }
    }
    return work;
  }

  /** Returns the work of one task, core-seconds, as its caller estimated it. */
  static double work(Task task) {
    return task.step().request().cpuMillicores()
        / 1000.0
        * task.step().estimatedDuration().toNanos()
        / 1e9;
  }

  /** Returns whether a job would meet its objective if it started now. */
  static boolean canMeetObjective(Job job, long nowNanos) {
    return due(job) - job.estimatedChain().toNanos() - nowNanos >= 0;
  }

  private static long due(Job job) {
    return job.acceptedNanos() + job.objective().toNanos();
  }
}
