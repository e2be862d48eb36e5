package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** All workers of one rack crash while they run the tasks of several jobs. */
final class Case11 {

  private static final int WORKERS = 44;
  private static final int RACK_SIZE = 6;
  private static final int JOBS = 10;
  private static final int TASKS = 150;
  private static final int TASK_CPU = 100;
  private static final int TASK_MILLIS = 6000;
  private static final long SUBMIT_MILLIS = 300;
  private static final long CRASH_MILLIS = 4500;

  /** Bound {@code finish_s}. */
  private static final long FINISH_MILLIS = 14_000;

  /** "For 3 s, a job has nothing running while a task's turn has come." */
  private static final long IDLE_MILLIS = 3000;

  /** Exit code for a broken rule; 1 is also that of a virtual machine that cannot start. */
  private static final int BROKEN = 10;

  private Case11() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Stage stage = new Stage(Path.of(arguments[0]), WORKERS, RACK_SIZE, 16_000, 3)) {
      stage.startVms(3);
      Thread.sleep(2000);
      exit = play(stage, trouble) ? BROKEN : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  /** Returns whether the rule was broken. */
  private static boolean play(Stage stage, boolean trouble) throws Exception {
    Stage.Vm door = stage.vms.get(0);
    List<Stage.Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      ObjectNode body = Stage.job("ms=" + TASK_MILLIS + " how=done", TASKS, TASK_CPU, TASK_MILLIS);
      ((ObjectNode) body.path("steps").path(0)).put("data_rack", "r1-1");
      jobs.add(stage.submit(door, body, TASKS));
      Thread.sleep(SUBMIT_MILLIS);
    }
    Thread.sleep(1000);
    if (trouble) {
      List<Worker> rack = stage.workers.subList(0, RACK_SIZE);
      for (Worker worker : rack) {
        worker.crash();
      }
      Thread.sleep(CRASH_MILLIS);
      for (Worker worker : rack) {
        worker.restart();
      }
    }
    // The end of the traffic. Idle times are looked for in calm, contact_ms later.
    Thread.sleep(3000);
    long[] idleSince = new long[JOBS];
    long[] longestIdle = new long[JOBS];
    long until = stage.log.millis() + FINISH_MILLIS;
    while (stage.log.millis() < until) {
      for (int i = 0; i < JOBS; i++) {
        boolean waits = stage.runs.done(jobs.get(i).id) < TASKS;
        if (!waits || stage.runs.anyRunning(jobs.get(i).id)) {
          idleSince[i] = 0;
        } else if (idleSince[i] == 0) {
          idleSince[i] = stage.log.millis();
        } else {
          longestIdle[i] = Math.max(longestIdle[i], stage.log.millis() - idleSince[i]);
        }
      }
      Thread.sleep(100);
    }
    int broken = 0;
    int accepted = 0;
    for (int i = 0; i < JOBS; i++) {
      Stage.Job job = jobs.get(i);
      if (!job.accepted) {
        continue;
      }
      accepted++;
      String state = stage.state(stage.vms.get(1), job);
      long done = stage.runs.done(job.id);
      boolean lost =
          state.isEmpty()
              || state.equals("unknown")
              || (!state.equals("completed") && longestIdle[i] >= IDLE_MILLIS);
      broken += lost ? 1 : 0;
      stage.log.show(
          job.id
              + " state "
              + state
              + ", tasks done "
              + done
              + " of "
              + TASKS
              + ", nothing running for "
              + longestIdle[i]
              + " ms"
              + (lost ? ": LOST" : ""));
    }
    Stage.Job late = stage.submit(stage.vms.get(2), Stage.job("ms=100 how=done", 2, 500, 100), 2);
    stage.log.show("a new job at the end is " + (late.accepted ? "accepted" : "not accepted"));
    stage.log.show("transactions that the store refused: " + stage.store.refusals());
    stage.copyOutput("platform", 5);
    if (accepted == 0) {
      throw new IllegalStateException("no job was accepted");
    }
    stage.log.show(broken + " of " + accepted + " accepted jobs lost");
    return broken > 0;
  }
}
