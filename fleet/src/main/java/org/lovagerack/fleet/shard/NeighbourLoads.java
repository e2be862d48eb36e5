package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagerack.foundation.timer.TimerService;

/** Loads of other shards as their owners last reported them. */
public final class NeighbourLoads {

  /** Two intervals of the probes that bring the loads; an older load says little. */
  private static final Duration MAX_AGE = Duration.ofMillis(700);

  private record Reported(List<ShardLoad> loads, long atNanos) {}

  private record Target(int shard, String service) {}

  private final TimerService timer;
  private final Map<Integer, Reported> reports = new HashMap<>();

  /** Tasks of jobs that were redirected since the last report of their shard. */
  private final Map<Target, Integer> redirectedTasks = new HashMap<>();

  /** Creates an instance that knows no load. */
  public NeighbourLoads(TimerService timer) {
    this.timer = timer;
  }

  /** Replaces the loads of a shard by those that its owner has just reported. */
  public void record(int shard, List<ShardLoad> loads) {
    List<ShardLoad> ofShard = loads.stream().filter(load -> load.shard() == shard).toList();
    reports.put(shard, new Reported(ofShard, timer.nanoTime()));
    redirectedTasks.keySet().removeIf(target -> target.shard() == shard);
  }

  /** Records that tasks were redirected to a shard, which its next report will include. */
  public void redirected(int shard, String service, int tasks) {
    redirectedTasks.merge(new Target(shard, service), tasks, Integer::sum);
  }

  /** Returns the recent loads of a service in other shards. */
  public List<ShardLoad> of(String service) {
    List<ShardLoad> recent = new ArrayList<>();
    long now = timer.nanoTime();
    for (Reported report : reports.values()) {
      if (now - report.atNanos() <= MAX_AGE.toNanos()) {
        for (ShardLoad load : report.loads()) {
          if (load.service().equals(service)) {
            recent.add(
                load.plus(redirectedTasks.getOrDefault(new Target(load.shard(), service), 0)));
          }
        }
      }
    }
    return recent;
  }
}
