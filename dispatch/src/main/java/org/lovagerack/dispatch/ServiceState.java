package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagerack.notes.ServiceDefinition;

/** What the dispatcher knows of one service. */
final class ServiceState {

  // A job is due at this multiple of its ideal response time, or at its deadline if that is sooner.
  // Ordered by the raw deadline, jobs with a long one wait behind all later short ones and are
  // given up half done: the benchmark shows a goodput of 0.67 at 200 % load. Smaller multiples
  // let large jobs overtake short ones: with 3, the 99th percentile of short jobs at 85 % load
  // was six times as large.
  private static final double DUE_FACTOR = 8;

  // Under overload, what was admitted must be finished, so that the order is closer to that of
  // arrival: with 3 the goodput is over 0.95, with 8 it is 0.88.
  private static final double OVERLOAD_DUE_FACTOR = 3;
  private static final long OVERLOAD_NANOS = Duration.ofSeconds(1).toNanos();

  private final DispatchSettings settings;
  private final TaskQueue queue = new TaskQueue();
  private final UpstreamPool pool = new UpstreamPool();
  private final ExpectedReleases releases = new ExpectedReleases();
  private final SlownessQuantile slowness = new SlownessQuantile();
  private final Map<String, RunTimeModel> kinds = new RecentlyUsed();
  private final StartBudget retryBudget;
  private final StartBudget hedgeBudget;
  private ServiceDefinition definition;
  private boolean withdrawn;
  private JobShape admittedJob;
  private long admittedDueNanos;
  private boolean overloadSeen;
  private long overloadNanos;
  private AlarmQueue.Alarm passAlarm;
  private long passAlarmNanos;

  ServiceState(ServiceDefinition definition, DispatchSettings settings) {
    this.settings = settings;
    this.retryBudget = new StartBudget(definition.retryBudget(), settings.budgetReserve());
    this.hedgeBudget = new StartBudget(0, 0);
    define(definition);
  }

  void define(ServiceDefinition newDefinition) {
    definition = newDefinition;
    retryBudget.setShare(newDefinition.retryBudget());
    hedgeBudget.setShare(hedgeShare());
  }

  ServiceDefinition definition() {
    return definition;
  }

  boolean withdrawn() {
    return withdrawn;
  }

  void withdraw() {
    withdrawn = true;
  }

  String name() {
    return definition.name();
  }

  TaskQueue queue() {
    return queue;
  }

  UpstreamPool pool() {
    return pool;
  }

  ExpectedReleases releases() {
    return releases;
  }

  SlownessQuantile slowness() {
    return slowness;
  }

  StartBudget retryBudget() {
    return retryBudget;
  }

  StartBudget hedgeBudget() {
    return hedgeBudget;
  }

  RunTimeModel kind(String kind) {
    return kinds.computeIfAbsent(kind, name -> new RunTimeModel());
  }

  /** Returns the share of starts that may be hedges. */
  double hedgeShare() {
    double responseWeight = 1 - definition.messageWeight();
    return settings.hedgeShare() * responseWeight * responseWeight;
  }

  /** Returns the quantile of slowness from which attempts are hedged. */
  double hedgeQuantile() {
    return 1 - hedgeShare();
  }

  /**
   * Returns the time by which a job should be answered, from which its place in the queue follows.
   *
   * @param longestWork expected work of its longest task
   * @param jobWork expected work of all its tasks
   */
  long dueNanos(long deadlineNanos, double longestWork, double jobWork, long nowNanos) {
    double capacity = pool.capacity();
    if (!(capacity > 0)) {
      return deadlineNanos;
    }
    boolean overloaded = overloadSeen && nowNanos - overloadNanos < OVERLOAD_NANOS;
    double factor = overloaded ? OVERLOAD_DUE_FACTOR : DUE_FACTOR;
    double ideal = Math.max(longestWork * pool.shareSlots() / capacity, jobWork / capacity);
    return Math.min(deadlineNanos, nowNanos + (long) (factor * ideal));
  }

  /** Notes that a job was refused because of the load. */
  void refusedOnLoad(long nowNanos) {
    overloadSeen = true;
    overloadNanos = nowNanos;
  }

  /** Remembers when an admitted job is due, until its tasks are submitted in the same turn. */
  void admitted(JobShape job, long dueNanos) {
    admittedJob = job;
    admittedDueNanos = dueNanos;
  }

  /**
   * Returns when a submitted task is due: with its job, or at its deadline if none was admitted.
   */
  long dueNanos(TaskSpec task) {
    boolean ofAdmittedJob =
        admittedJob != null
            && admittedJob.deadlineNanos() == task.deadlineNanos()
            && admittedJob.kind().equals(task.kind());
    return ofAdmittedJob ? admittedDueNanos : task.deadlineNanos();
  }

  /** Returns the pending alarm for the next routing pass, or null. */
  AlarmQueue.Alarm passAlarm() {
    return passAlarm;
  }

  long passAlarmNanos() {
    return passAlarmNanos;
  }

  void setPassAlarm(AlarmQueue.Alarm alarm, long dueNanos) {
    passAlarm = alarm;
    passAlarmNanos = dueNanos;
  }

  /** Limits the models, because callers choose the names of the kinds. */
  private static final class RecentlyUsed extends LinkedHashMap<String, RunTimeModel> {

    private static final long serialVersionUID = 1L;
    private static final int LIMIT = 1000;

    RecentlyUsed() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, RunTimeModel> eldest) {
      return size() > LIMIT;
    }
  }
}
