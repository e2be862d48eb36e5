package review;

import java.util.List;

/**
 * Not a case: a task crashes each executor that starts it, and the owner of the shard is killed
 * right after each of the first crashes, as often as the last argument says.
 */
final class OwnersKilled {

  private static final int LAST_CRASH = 7;

  private OwnersKilled() {}

  /** Arguments: root, folder of the record, temporary folder, number of kills. */
  public static void main(String[] arguments) throws Exception {
    int kills = Integer.parseInt(arguments[3]);
    Site site = new Site(arguments, 9);
    for (int index = 1; index <= 8; index++) {
      site.executor("executor-" + index, "a", "r1-" + index);
    }
    List<Node> nodes = site.startNodes(6);
    Jobs.Job job = site.jobs.create("ms=60000", false, List.of(new Jobs.Step(1, 2000, 400)));
    if (!site.jobs.submit(job, nodes, 1500, 5000)) {
      site.exit(2, "the job was not accepted");
    }
    int crashes = 0;
    double lastRun = site.record.now();
    while (crashes < LAST_CRASH && site.record.now() - lastRun < 25_000) {
      Executor victim = null;
      for (Executor executor : site.executors) {
        victim = executor.busy() ? executor : victim;
      }
      if (victim == null) {
        Thread.sleep(5);
        continue;
      }
      lastRun = site.record.now();
      Thread.sleep(200);
      victim.crash();
      crashes++;
      later(2500, victim::start);
      if (crashes <= kills) {
        Node owner = site.owner();
        owner.kill();
        later(800, owner::start);
      }
    }
    site.jobs.state(job, nodes.stream().filter(Node::ready).findFirst().orElseThrow(), 1500);
    site.exit(
        crashes >= 6 ? 1 : 0,
        kills + " kills: " + crashes + " executors crashed; the job is " + job.lastState);
  }

  private static void later(long milliseconds, Runnable action) {
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(milliseconds);
            action.run();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }
}
