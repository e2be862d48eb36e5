package org.lovagerack.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagerack.notes.ServiceDefinition;

/** What the dispatcher knows of one service. */
final class ServiceState {

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
