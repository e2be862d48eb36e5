package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Among sound jobs, some can never be done. While these have failed once and run for the second
 * time, the process that owns the shard is stopped and started as planned.
 */
final class FailedRuns {

  private static final int ATTEMPTS = 2;
  private static final int FAILING_JOBS = 8;
  private static final int SOUND_JOBS = 160;
  private static final int EXECUTORS = 12;

  private FailedRuns() {}

  static void run(String[] arguments) throws Exception {
    Site site = new Site(arguments, ATTEMPTS);
    for (int index = 1; index <= EXECUTORS; index++) {
      site.executor(String.format("executor-%02d", index), "a", "r1-" + index);
    }
    List<Node> nodes = site.startNodes(3);
    Node owner = site.owner();
    if (owner == null) {
      site.exit(2, "no node owns the shard");
    }
    List<Node> others = nodes.stream().filter(node -> node != owner).toList();
    // Sound work on every executor, so that no lease lapses.
    Jobs.Job longJob =
        site.jobs.create(
            "ms=20000", false, List.of(new Jobs.Step(EXECUTORS, 1000, 20_000, List.of(), "", 1)));
    if (!site.jobs.submit(longJob, others, 1500, 5000)) {
      site.exit(2, "the long job was not accepted");
    }
    Thread.sleep(1000);
    List<Jobs.Job> failing = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int count = 0; count < FAILING_JOBS + SOUND_JOBS; count++) {
      boolean fails = count % 21 == 0;
      Jobs.Job job =
          site.jobs.create(
              fails ? "ms=1500 fail" : "ms=200",
              false,
              List.of(fails ? new Jobs.Step(1, 9000, 1500) : new Jobs.Step(1, 1000, 200)));
      if (fails) {
        failing.add(job);
      }
      clients.add(
          Thread.startVirtualThread(
              () -> {
                try {
                  site.jobs.submit(job, others, 1500, 5000);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
      Thread.sleep(4);
    }
    for (Thread client : clients) {
      client.join();
    }
    long limit = System.nanoTime() + 8_000_000_000L;
    while (!failing.stream().allMatch(job -> runs(site, job) == 2)) {
      if (System.nanoTime() > limit) {
        site.exit(2, "the failing tasks do not all run for the second time");
      }
      Thread.sleep(10);
    }
    Thread.sleep(100);
    if (Site.TROUBLE) {
      owner.terminate();
      Thread.startVirtualThread(
          () -> {
            try {
              if (owner.awaitExit(8000)) {
                owner.start();
              }
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    }
    long end = System.nanoTime() + 45_000_000_000L;
    boolean allEnded = false;
    while (!allEnded && System.nanoTime() < end) {
      allEnded = true;
      for (Jobs.Job job : site.jobs.jobs.values()) {
        if (job.accepted() && !job.shownEnded()) {
          site.jobs.state(job, others.get(0), 1500);
          allEnded &= job.shownEnded();
        }
      }
      Thread.sleep(100);
    }
    // Ends are acknowledged with the next report.
    Thread.sleep(2500);
    Rules rules = new Rules(site.executors, site.jobs, ATTEMPTS);
    rules.budget();
    site.judge(rules);
  }

  private static long runs(Site site, Jobs.Job job) {
    long runs = 0;
    for (Executor executor : site.executors) {
      synchronized (executor.history) {
        runs += executor.history.stream().filter(run -> run.task.startsWith(job.id)).count();
      }
    }
    return runs;
  }
}
