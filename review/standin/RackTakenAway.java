package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Executors are emptied and taken away as planned. Accepted jobs whose tasks need a label that only
 * one executor still has wait for it.
 */
final class RackTakenAway {

  private static final int EXECUTORS = 64;
  private static final int RACK = 5;
  private static final int RACKS = 2;
  private static final int SHARDS = 2;
  private static final int JOBS_PER_RACK = 8;
  private static final long DRAIN_MS = 2000;

  private RackTakenAway() {}

  /** The shard of an identifier, as the program computes it. */
  private static int shard(String id) {
    return (int) Long.remainderUnsigned((id.hashCode() * 0x9E3779B97F4A7C15L) >>> 16, SHARDS);
  }

  static void run(String[] arguments) throws Exception {
    Site site = new Site(arguments, 3);
    Random random = new Random();
    List<List<Executor>> racks = new ArrayList<>();
    for (int rack = 1; rack <= RACKS; rack++) {
      List<String> ids = new ArrayList<>();
      // Without the disruption, every shard has an executor of every rack that is asked for.
      while (ids.stream().mapToInt(RackTakenAway::shard).distinct().count() < SHARDS) {
        ids.clear();
        for (int index = 0; index < RACK; index++) {
          ids.add(String.format("i-%010x", random.nextLong() & 0xffffffffffL));
        }
      }
      List<Executor> executors = new ArrayList<>();
      for (String id : ids) {
        executors.add(site.executor(id, "a", "r1-" + rack));
      }
      racks.add(executors);
    }
    while (site.executors.size() < EXECUTORS) {
      String id = String.format("i-%010x", random.nextLong() & 0xffffffffffL);
      site.executor(id, "a", "r1-" + (RACKS + 1 + site.executors.size() / 6));
    }
    Thread.sleep(1000);
    List<Node> nodes = site.startNodes(3);
    List<Executor> kept = new ArrayList<>();
    List<Executor> left = new ArrayList<>();
    if (Site.TROUBLE) {
      for (List<Executor> rack : racks) {
        int stays = random.nextInt(RACK);
        for (int index = 0; index < RACK; index++) {
          if (index == stays) {
            kept.add(rack.get(index));
          } else {
            left.add(rack.get(index));
          }
        }
      }
      left.forEach(Executor::drain);
      Thread.sleep(DRAIN_MS + 1500);
      left.forEach(Executor::leave);
      Thread.sleep(2000);
    }
    for (int rack = 1; rack <= RACKS; rack++) {
      for (int count = 0; count < JOBS_PER_RACK; count++) {
        Jobs.Job job =
            site.jobs.create(
                "ms=300", false, List.of(new Jobs.Step(1, 4000, 300, List.of(), "r1-" + rack, 0)));
        site.jobs.submit(job, nodes, 1500, 5000);
      }
    }
    // finish_s (14 s) after the end of the traffic, jobs are asked for.
    Thread.sleep(14_000);
    double from = site.record.now();
    Thread.sleep(3500);
    double to = site.record.now();
    List<Jobs.Job> asked = List.copyOf(site.jobs.jobs.values());
    if (asked.stream().noneMatch(Jobs.Job::accepted)) {
      site.exit(2, "no job was accepted");
    }
    for (Jobs.Job job : asked) {
      site.jobs.state(job, nodes.get(0), 1500);
    }
    Rules rules = new Rules(site.executors, site.jobs, site.attempts);
    List<Executor> ready = new ArrayList<>(site.executors);
    ready.removeAll(left);
    rules.idle(asked, from, to, ready);
    for (Executor executor : kept) {
      site.record.line(
          "SEEN",
          executor.id,
          executor.labels,
          "is ready, in shard",
          shard(executor.id),
          "and has begun",
          executor.history.size(),
          "runs");
    }
    site.judge(rules);
  }
}
