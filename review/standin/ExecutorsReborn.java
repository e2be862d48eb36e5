package review;

import java.util.List;

/**
 * An executor is cut off, its run lapses, and it crashes behind the cut and starts again. Some time
 * later the same happens to the executor that runs the same task next.
 */
final class ExecutorsReborn {

  private static final int EXECUTORS = 6;
  private static final long TASK_MS = 12_000;
  private static final long CUT_MS = 3000;
  private static final long CRASH_AFTER_MS = 1800;

  private ExecutorsReborn() {}

  static void run(String[] arguments) throws Exception {
    Site site = new Site(arguments, 3);
    for (int index = 1; index <= EXECUTORS; index++) {
      site.executor("executor-" + index, "a", "r1-" + index);
    }
    List<Node> nodes = site.startNodes(3);
    Jobs.Job job =
        site.jobs.create(
            "ms=" + TASK_MS, false, List.of(new Jobs.Step(1, 2000, TASK_MS)));
    if (!site.jobs.submit(job, nodes, 1500, 5000)) {
      site.exit(2, "the job was not accepted");
    }
    if (Site.TROUBLE) {
      for (int time = 0; time < 2; time++) {
        Executor executor = runningOn(site);
        Thread.sleep(3000);
        cutOffAndRestart(site, executor);
        Thread.sleep(3000);
      }
    }
    long end = System.nanoTime() + 50_000_000_000L;
    while (!job.shownEnded() && System.nanoTime() < end) {
      site.jobs.state(job, nodes.get(0), 1500);
      Thread.sleep(200);
    }
    Rules rules = new Rules(site.executors, site.jobs, site.attempts);
    rules.answers(true);
    site.judge(rules);
  }

  private static Executor runningOn(Site site) throws InterruptedException {
    long end = System.nanoTime() + 15_000_000_000L;
    while (System.nanoTime() < end) {
      for (Executor executor : site.executors) {
        if (executor.busy()) {
          return executor;
        }
      }
      Thread.sleep(10);
    }
    site.exit(2, "the task does not run");
    return null;
  }

  private static void cutOffAndRestart(Site site, Executor executor) throws InterruptedException {
    executor.cutFromSystem = true;
    executor.cutFromStore = true;
    site.record.line("TROUBLE", executor.id, "is cut off");
    Thread.sleep(CRASH_AFTER_MS);
    if (executor.busy()) {
      site.exit(2, "the run did not lapse before the crash");
    }
    executor.crash();
    executor.start();
    Thread.sleep(CUT_MS - CRASH_AFTER_MS);
    executor.cutFromSystem = false;
    executor.cutFromStore = false;
    site.record.line("TROUBLE", executor.id, "is reached again");
  }
}
