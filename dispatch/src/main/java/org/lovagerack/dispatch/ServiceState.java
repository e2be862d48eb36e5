package org.lovagerack.dispatch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagerack.notes.ServiceDefinition;

/** Mutable state of one service. */
final class ServiceState {

  // A job is due at this multiple of its ideal response time, or at its deadline if that is sooner.
  // If ordered by deadline alone, jobs with a long deadline wait behind all later jobs with a short
  // one and expire unfinished; the goodput is then 0.67 at 200 % load. Smaller multiples let large
  // jobs overtake short ones: with 3, the 99th percentile of short jobs at 85 % load is six times
  // as large.
  private static final double DUE_FACTOR = 8;

  // Under overload, admitted jobs must be finished, so the order is closer to that of arrival: the
  // goodput is over 0.95 with 3 and 0.88 with 8.
  private static final double OVERLOAD_DUE_FACTOR = 3;
  private static final long OVERLOAD_NANOS = Duration.ofSeconds(1).toNanos();

  private final DispatchSettings settings;
  private final TaskQueue queue = new TaskQueue();
  private final UpstreamPool pool = new UpstreamPool();
  private final ExpectedReleases releases = new ExpectedReleases();
  private final RunTimeRatioQuantile runTimeRatio = new RunTimeRatioQuantile();
  private final Map<String, RunTimeModel> kinds = new ModelCache();
  private final StartBudget retryBudget;
  private final StartBudget hedgeBudget;
  private ServiceDefinition definition;
  private boolean withdrawn;
  private AdmissionRequest admittedJob;
  private long admittedDueNanos;
  private boolean overloadSeen;
  private long overloadNanos;
  private AlarmQueue.Alarm routingAlarm;
  private long routingAlarmNanos;

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

  RunTimeRatioQuantile runTimeRatio() {
    return runTimeRatio;
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

  /** Returns the fraction of starts that may be hedges. */
  double hedgeShare() {
    double responseWeight = 1 - definition.messageWeight();
    return settings.hedgeShare() * responseWeight * responseWeight;
  }

  /** Returns the quantile of the run time ratio above which attempts are hedged. */
  double hedgeQuantile() {
    return 1 - hedgeShare();
  }

  /**
   * Returns the time by which a job should be answered, which determines its place in the queue.
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

  /** Records that a job was refused because of overload. */
  void markOverloaded(long nowNanos) {
    overloadSeen = true;
    overloadNanos = nowNanos;
  }

  /** Records the due time of an admitted job for its tasks, which are submitted directly after. */
  void recordAdmission(AdmissionRequest job, long dueNanos) {
    admittedJob = job;
    admittedDueNanos = dueNanos;
  }

  /**
   * Returns the due time of a submitted task: that of its job, or the deadline of the task if its
   * job was not admitted.
   */
  long dueNanos(TaskSpec task) {
    boolean ofAdmittedJob =
        admittedJob != null
            && admittedJob.deadlineNanos() == task.deadlineNanos()
            && admittedJob.kind().equals(task.kind());
    return ofAdmittedJob ? admittedDueNanos : task.deadlineNanos();
  }

  /** Returns the pending alarm for the next routing pass, or null. */
  AlarmQueue.Alarm routingAlarm() {
    return routingAlarm;
  }

  long routingAlarmNanos() {
    return routingAlarmNanos;
  }

  void setRoutingAlarm(AlarmQueue.Alarm alarm, long dueNanos) {
    routingAlarm = alarm;
    routingAlarmNanos = dueNanos;
  }

  /** LRU cache that limits the number of models, because callers choose the names of kinds. */
  private static final class ModelCache extends LinkedHashMap<String, RunTimeModel> {

    private static final long serialVersionUID = 1L;
    private static final int MAX_ENTRIES = 1000;

    ModelCache() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, RunTimeModel> eldest) {
      return size() > MAX_ENTRIES;
    }
  }
}
