package org.lovagerack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Queued tasks of one service: urgent tasks first, then by due time, and among tasks with the same
 * due time (those of one job) the longest declared run time first.
 */
final class TaskQueue {

  private final TreeSet<TaskState> tasks = new TreeSet<>(TaskQueue::compare);
  private final DeadlineProfile urgent = new DeadlineProfile();
  private final DeadlineProfile normal = new DeadlineProfile();

  void add(TaskState task, long nowNanos) {
    task.enterQueue(nowNanos);
    tasks.add(task);
    profile(task.spec().urgent()).add(task.dueNanos(), task.spec().deadlineNanos(), task.work());
  }

  /** Removes a task; does nothing if it is not queued. */
  void remove(TaskState task) {
    if (!task.queued()) {
      return;
    }
    tasks.remove(task);
    task.leaveQueue();
    profile(task.spec().urgent()).remove(task.dueNanos(), task.work());
  }

  int size() {
    return tasks.size();
  }

  boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Returns the first tasks, at most {@code limit}. */
  List<TaskState> first(int limit) {
    List<TaskState> first = new ArrayList<>(Math.min(limit, tasks.size()));
    for (TaskState task : tasks) {
      if (first.size() == limit) {
        break;
      }
      first.add(task);
    }
    return first;
  }

  List<TaskState> all() {
    return List.copyOf(tasks);
  }

  /** Returns the queued work that is started before a new task. */
  double workBefore(boolean urgentTask, long dueNanos) {
    double sameClass = profile(urgentTask).dueBy(dueNanos);
    return urgentTask ? sameClass : sameClass + urgent.total();
  }

  /** Returns whether new work would make a queued task of the same urgency miss its deadline. */
  boolean wouldMissDeadline(
      boolean urgentTask, long dueNanos, double work, double capacity, long nowNanos) {
    double before = urgentTask ? 0 : urgent.total();
    return profile(urgentTask).wouldMissDeadline(dueNanos, work, before, capacity, nowNanos);
  }

  private static int compare(TaskState first, TaskState second) {
    TaskSpec one = first.spec();
    TaskSpec other = second.spec();
    if (one.urgent() != other.urgent()) {
      return one.urgent() ? -1 : 1;
    }
    int byDueTime = Long.compare(first.dueNanos(), second.dueNanos());
    if (byDueTime != 0) {
      return byDueTime;
    }
    int longestFirst = other.declaredRunTime().compareTo(one.declaredRunTime());
    return longestFirst != 0 ? longestFirst : Long.compare(first.order(), second.order());
  }

  private DeadlineProfile profile(boolean urgentTask) {
    return urgentTask ? urgent : normal;
  }
}
