package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of jobs with tasks to place. Jobs that have started come first, because the work spent on
 * them is lost unless their last tasks run too. The others are ordered by earliest due time, and
 * those that can no longer meet their objective come last.
 */
final class TaskQueue {

  private static final Comparator<Job> ORDER =
      Comparator.comparingLong(TaskQueue::dueNanos).thenComparing(Job::id);

  private final NavigableSet<Job> jobs = new TreeSet<>(ORDER);

  void add(Job job) {
    jobs.add(job);
  }

  void remove(Job job) {
    jobs.remove(job);
  }

  /** Returns the jobs in placement order. */
  List<Job> inOrder(long nowNanos) {
    List<Job> ordered = new ArrayList<>();
    List<Job> inTime = new ArrayList<>();
    List<Job> late = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.neverRan() && !job.tooLateToStart(nowNanos)) {
        ordered.add(job);
      } else {
        (canMeetObjective(job, nowNanos) ? inTime : late).add(job);
      }
    }
    late.sort(Comparator.comparingInt((Job job) -> job.queue().priority()).thenComparing(ORDER));
    ordered.addAll(inTime);
    ordered.addAll(late);
    return ordered;
  }

  /**
   * Returns the queued work that is placed before a job that can still meet its objective, in
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

  /** Returns the number of tasks that wait for placement, of the jobs that match a filter. */
  long waitingTasks(Predicate<Job> filter) {
    return jobs.stream()
        .filter(filter)
        .flatMap(job -> job.tasks().stream())
        .filter(task -> task.phase() == Task.Phase.WAITING)
        .count();
  }

  private static double waitingWork(Job job) {
    double work = 0;
    for (Task task : job.tasks()) {
      if (task.phase() == Task.Phase.WAITING) {
        work += estimatedWork(task);
      }
    }
    return work;
  }

  /** Returns the caller's estimate of the work of one task, in core-seconds. */
  static double estimatedWork(Task task) {
    return task.step().request().cpuMillicores()
        / 1000.0
        * task.step().estimatedDuration().toNanos()
        / 1e9;
  }

  /** Returns whether a job would meet its objective if it started now. */
  static boolean canMeetObjective(Job job, long nowNanos) {
    return dueNanos(job) - job.estimatedCriticalPath().toNanos() - nowNanos >= 0;
  }

  /** Returns the time until a job must have ended to meet its objective; negative if it is late. */
  static Duration timeLeft(Job job, long nowNanos) {
    return Duration.ofNanos(dueNanos(job) - nowNanos);
  }

  private static long dueNanos(Job job) {
    return job.acceptedNanos() + job.objective().toNanos();
  }
}
