package review;

import java.util.List;

/**
 * An executor loses its path to the store and keeps the one to the system. Its entry expires. Then
 * the process that owns the shard is killed, while the executor still runs tasks under its lease.
 */
final class UnlistedExecutor {

  private static final long CUT_MS = 5000;

  private UnlistedExecutor() {}

  static void run(String[] arguments) throws Exception {
    Site site = new Site(arguments, 3);
    for (int index = 1; index <= 6; index++) {
      site.executor("executor-" + index, "a", "r1-" + index);
    }
    Node first = site.startNodes(1).get(0);
    // The others start when the deployment exists, as after a restart.
    List<Node> others = site.startNodes(2);
    if (site.owner() != first) {
      site.exit(2, "node-1 does not own the shard");
    }
    for (int count = 0; count < 4; count++) {
      Jobs.Job job =
          site.jobs.create("ms=14000", false, List.of(new Jobs.Step(1, 9000, 14_000)));
      if (!site.jobs.submit(job, others, 1500, 5000)) {
        site.exit(2, "a job was not accepted");
      }
    }
    Thread.sleep(1500);
    Executor cut = null;
    for (Executor executor : site.executors) {
      synchronized (executor.history) {
        cut = cut == null && !executor.history.isEmpty() ? executor : cut;
      }
    }
    if (cut == null) {
      site.exit(2, "no task has started");
    }
    if (Site.TROUBLE) {
      // The cut begins late in a heartbeat interval, so that the entry expires well before its end.
      cut.awaitBeatAge(1200);
      double from = site.record.now();
      cut.cutFromStore = true;
      site.record.line("TROUBLE", cut.id, "does not reach the store; the nodes reach it");
      while (site.store.has("servers", cut.id)) {
        if (site.record.now() - from > 4200) {
          site.exit(2, "the entry did not expire in time");
        }
        Thread.sleep(10);
      }
      Thread.sleep(600);
      first.kill();
      Thread.sleep(Math.max(0, (long) (from + CUT_MS - site.record.now())));
      cut.cutFromStore = false;
      site.record.line("TROUBLE", cut.id, "reaches the store again");
    }
    long end = System.nanoTime() + 50_000_000_000L;
    boolean allEnded = false;
    while (!allEnded && System.nanoTime() < end) {
      allEnded = true;
      for (Jobs.Job job : site.jobs.jobs.values()) {
        site.jobs.state(job, others.get(0), 1500);
        allEnded &= job.shownEnded();
      }
      Thread.sleep(300);
    }
    Rules rules = new Rules(site.executors, site.jobs, site.attempts);
    rules.twice(false);
    site.judge(rules);
  }
}
