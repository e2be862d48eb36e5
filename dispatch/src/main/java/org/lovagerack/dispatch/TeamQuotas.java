package org.lovagerack.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.lovagerack.notes.TeamQuota;

/**
 * This entry VM's part of the team quotas. A quota holds for a failure domain and is divided
 * equally among its live entry VMs. Teams without a quota are not limited.
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

  /** Returns whether the quota of a team has room for a job. */
  boolean hasRoom(String team, int taskCount, long nowNanos) {
    TeamQuota quota = quotas.get(team);
    if (quota == null) {
      return true;
    }
    Usage usage = usage(team, quota, nowNanos);
    return usage.inSystem + taskCount <= part(quota.maxTasksInSystem())
        // A job larger than the starts of one second is admitted on a full bucket and leaves a
        // debt, because otherwise it could never be admitted.
        && usage.starts >= Math.min(taskCount, part(quota.startsPerSecond()));
  }

  void taskEntered(String team, long nowNanos) {
    TeamQuota quota = quotas.get(team);
    Usage usage =
        quota == null
            ? usages.computeIfAbsent(team, name -> new Usage())
            : usage(team, quota, nowNanos);
    usage.inSystem++;
    usage.starts--;
  }

  void taskLeft(String team) {
    usages.get(team).inSystem--;
  }

  /** Forgets teams that hold no task and whose bucket is full again. */
  void forgetIdle(long nowNanos) {
    Iterator<Map.Entry<String, Usage>> all = usages.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Usage> entry = all.next();
      TeamQuota quota = quotas.get(entry.getKey());
      Usage usage = entry.getValue();
      if (usage.inSystem == 0
          && (quota == null
              || usage(entry.getKey(), quota, nowNanos).starts >= part(quota.startsPerSecond()))) {
        all.remove();
      }
    }
  }

  private Usage usage(String team, TeamQuota quota, long nowNanos) {
    double limit = part(quota.startsPerSecond());
    Usage usage = usages.computeIfAbsent(team, name -> new Usage());
    if (!usage.limited) {
      usage.limited = true;
      usage.starts = limit;
    } else {
      double earned = (nowNanos - usage.filledNanos) / NANOS_PER_SECOND * limit;
      usage.starts = Math.min(limit, usage.starts + earned);
    }
    usage.filledNanos = nowNanos;
    return usage;
  }

  private int part(int limit) {
    return Math.ceilDiv(limit, liveEntryVms);
  }

  private static final class Usage {
    private int inSystem;
    private double starts;
    private long filledNanos;
    private boolean limited;
  }
}
