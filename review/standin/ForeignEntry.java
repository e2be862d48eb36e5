package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Not a case: another writer leaves an entry among those of the executors whose address is no address. Then
 * executors are added, and jobs that need their label are handed in.
 */
final class ForeignEntry {

  private static final int EXECUTORS = 8;
  private static final int ADDED = 2;
  private static final int JOBS = 8;
  private static final String LABEL = "r1-9";

  private ForeignEntry() {}

  public static void main(String[] arguments) throws Exception {
    Site site = new Site(arguments, 3);
    for (int index = 1; index <= EXECUTORS; index++) {
      site.executor("executor-" + index, "a", "r1-" + index);
    }
    List<Node> nodes = site.startNodes(3);
    if (Site.TROUBLE) {
      String entry =
          Json.write(
              Json.map(
                  "service", "service-1",
                  "address", "127.0.0.1:70000",
                  "zone", "zone-1",
                  "version", "v1",
                  "slots", 8,
                  "state", "ready",
                  "capacity", Json.map("cpu", 16000, "memory_request_mb", 65536)));
      site.store.put("servers", "other", entry);
      site.record.line("TROUBLE", "another writer's entry:", entry);
    }
    Thread.sleep(3000);
    List<Executor> ready = new ArrayList<>(site.executors);
    for (int index = 0; index < ADDED; index++) {
      ready.add(site.executor("executor-" + (EXECUTORS + 1 + index), "a", LABEL));
    }
    Thread.sleep(4000);
    for (int count = 0; count < JOBS; count++) {
      Jobs.Job job =
          site.jobs.create(
              "ms=300", false, List.of(new Jobs.Step(1, 4000, 300, List.of(), LABEL, 0)));
      site.jobs.submit(job, nodes, 1500, 5000);
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
    rules.idle(asked, from, to, ready);
    site.judge(rules);
  }
}
