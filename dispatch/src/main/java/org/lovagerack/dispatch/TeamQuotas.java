package org.lovagerack.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.lovagerack.notes.TeamQuota;

/**
 * This entry VM's share of the team quotas. A quota applies to a failure domain and is divided
 * equally among its live entry VMs; starts are limited by a token bucket. Teams without a quota are
 * not limited.
 */
final class TeamQuotas {

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, Usage> usages = new HashMap<>();
  private Map<String, TeamQuota> quotas = Map.of();
  private int liveEntryVms = 1;

  void define(Map<String, TeamQuota> newQuotas) {
    quotas = newQuotas;
  }

  void setLiveEntryVms(int count) {
    liveEntryVms = count;
  }

  /** Returns whether the quota of a team allows a job. */
  boolean allows(String team, int taskCount, long nowNanos) {
    TeamQuota quota = quotas.get(team);
    if (quota == null) {
      return true;
    }
    Usage usage = usage(team, quota, nowNanos);
    return usage.tasksInSystem + taskCount <= localLimit(quota.maxTasksInSystem())
        // A job with more tasks than the capacity of the bucket is admitted on a full bucket, which
        // then becomes negative; otherwise such a job could never be admitted.
        && usage.startTokens >= Math.min(taskCount, localLimit(quota.startsPerSecond()));
  }

  void taskEntered(String team, long nowNanos) {
    TeamQuota quota = quotas.get(team);
    Usage usage =
        quota == null
            ? usages.computeIfAbsent(team, name -> new Usage())
            : usage(team, quota, nowNanos);
    usage.tasksInSystem++;
    usage.startTokens--;
  }

  void taskLeft(String team) {
    usages.get(team).tasksInSystem--;
  }

  /** Removes teams without tasks whose token bucket is full again. */
  void removeIdle(long nowNanos) {
    Iterator<Map.Entry<String, Usage>> all = usages.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Usage> entry = all.next();
      TeamQuota quota = quotas.get(entry.getKey());
      Usage usage = entry.getValue();
      if (usage.tasksInSystem == 0
          && (quota == null
              || usage(entry.getKey(), quota, nowNanos).startTokens
                  >= localLimit(quota.startsPerSecond()))) {
        all.remove();
      }
    }
  }

  private Usage usage(String team, TeamQuota quota, long nowNanos) {
    double limit = localLimit(quota.startsPerSecond());
    Usage usage = usages.computeIfAbsent(team, name -> new Usage());
    if (!usage.limited) {
      usage.limited = true;
      usage.startTokens = limit;
    } else {
      double earned = (nowNanos - usage.refilledNanos) / NANOS_PER_SECOND * limit;
      usage.startTokens = Math.min(limit, usage.startTokens + earned);
    }
    usage.refilledNanos = nowNanos;
    return usage;
  }

  private int localLimit(int limit) {
    return Math.ceilDiv(limit, liveEntryVms);
  }

  private static final class Usage {
    private int tasksInSystem;
    private double startTokens;
    private long refilledNanos;
    private boolean limited;
  }
}
