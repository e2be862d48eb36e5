package review;

import java.util.ArrayList;
import java.util.List;

/**
 * One of six executors is cut off from the system for two seconds while it runs eight long tasks.
 * Small jobs that are accepted afterwards wait, though the executors are nearly idle.
 */
final class ExecutorCutOff {

  private static final int EXECUTORS = 6;
  private static final int LONG_TASKS = 8;
  private static final long LONG_MS = 40_000;
  private static final long CUT_MS = 2000;
  private static final long FINISH_MS = 14_000;

  private ExecutorCutOff() {}

  static void run(String[] arguments) throws Exception {
    Site site = new Site(arguments, 3);
    for (int index = 1; index <= EXECUTORS; index++) {
      site.executor("executor-" + index, "a", "r1-" + index);
    }
    List<Node> nodes = site.startNodes(3);
    Jobs.Job longJob =
        site.jobs.create(
            "ms=" + LONG_MS, false, List.of(new Jobs.Step(LONG_TASKS, 1000, LONG_MS)));
    if (!site.jobs.submit(longJob, nodes, 1500, 5000)) {
      site.exit(2, "the long job was not accepted");
    }
    Thread.sleep(1500);
    if (Site.TROUBLE) {
      Executor cut = null;
      for (Executor executor : site.executors) {
        synchronized (executor.history) {
          if (cut == null || executor.history.size() > cut.history.size()) {
            cut = executor;
          }
        }
      }
      cut.cutFromSystem = true;
      cut.cutFromStore = true;
      site.record.line("TROUBLE", cut.id, "is cut off and runs on");
      Thread.sleep(CUT_MS);
      cut.cutFromSystem = false;
      cut.cutFromStore = false;
      site.record.line("TROUBLE", cut.id, "is reached again");
    }
    // The machines are in touch again contact_ms (3 s) after the cut.
    Thread.sleep(4000);
    List<Jobs.Job> small = new ArrayList<>();
    for (int count = 0; count < 10; count++) {
      Jobs.Job job = site.jobs.create("ms=200", false, List.of(new Jobs.Step(2, 2000, 200)));
      if (site.jobs.submit(job, nodes, 1500, 5000)) {
        small.add(job);
      }
    }
    if (small.isEmpty()) {
      site.exit(2, "no small job was accepted");
    }
    // finish_s after the end of the traffic, jobs are asked for.
    Thread.sleep(FINISH_MS);
    double from = site.record.now();
    Thread.sleep(3500);
    double to = site.record.now();
    Rules rules = new Rules(site.executors, site.jobs, site.attempts);
    for (Jobs.Job job : small) {
      site.jobs.state(job, nodes.get(0), 1500);
    }
    rules.idle(small, from, to, site.executors);
    site.judge(rules);
  }
}
