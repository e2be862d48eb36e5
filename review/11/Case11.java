package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/** The owner's process is killed, and just after it some workers are cut off and run on. */
final class Case11 {

  private static final int WORKERS = 32;
  private static final int RACK_SIZE = 6;

  /** Disruption {@code node_cut}, servers: share 0.17 for 5.5 s at most. */
  private static final int CUT_WORKERS = 5;

  private static final long CUT_MILLIS = 5300;

  /** Time from the first orders of the next owner to the cut. */
  private static final long DELAY_MILLIS = 40;

  /** Longest wait for the next owner's first orders; a takeover takes up to about 0.6 s. */
  private static final long TAKEOVER_MILLIS = 2000;

  /** Overlaps below this are not counted: workers look at their leases every 5 ms. */
  private static final long MIN_OVERLAP_MILLIS = 20;

  /** Disruption {@code node_kill}: one process, started again within 3.5 s. */
  private static final long DOWN_MILLIS = 3300;

  private static final int ROUNDS = 7;
  private static final int TASKS = 5;
  private static final int TASK_CPU = 2000;
  private static final int TASK_MILLIS = 2000;
  private static final long PERIOD_MILLIS = 125;

  /** Bound {@code retry_ms}. */
  private static final long RETRY_MILLIS = 1300;

  /** Exit code for a broken rule; 1 is also that of a virtual machine that cannot start. */
  private static final int BROKEN = 10;

  private Case11() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Stage stage = new Stage(Path.of(arguments[0]), WORKERS, RACK_SIZE, 16_000, 3)) {
      stage.startVms(4);
      Thread.sleep(2000);
      exit = play(stage, trouble) ? BROKEN : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  /** Returns whether the rule was broken. */
  private static boolean play(Stage stage, boolean trouble) throws Exception {
    AtomicBoolean traffic = new AtomicBoolean(true);
    List<Stage.Vm> doors = new ArrayList<>(stage.vms);
    Thread clients = Thread.ofPlatform().start(() -> send(stage, traffic, doors));
    Random random = new Random(47);
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(5000);
      Stage.Vm owner = stage.owner();
      if (!trouble || owner == null) {
        Thread.sleep(8000);
        continue;
      }
      List<Worker> cut = choose(stage, owner, random);
      long killed = stage.log.millis();
      stage.signal(owner, "KILL");
      synchronized (doors) {
        doors.remove(owner);
      }
      long takenOver = awaitNextOwner(stage, stage.log.millis());
      stage.log.line("script", "workers have a new owner after " + takenOver + " ms");
      Thread.sleep(DELAY_MILLIS);
      long cutAt = stage.log.millis();
      cut.forEach(worker -> worker.setCut(true));
      Thread.sleep(Math.max(0, killed + DOWN_MILLIS - stage.log.millis()));
      stage.startProcess(owner);
      Thread.sleep(Math.max(0, cutAt + CUT_MILLIS - stage.log.millis()));
      cut.forEach(worker -> worker.setCut(false));
      stage.awaitReady(List.of(owner), 15_000);
      synchronized (doors) {
        doors.add(owner);
      }
    }
    traffic.set(false);
    clients.join();
    Thread.sleep(5000);
    stage.log.show(
        stage.jobs.size()
            + " jobs sent, "
            + stage.jobs.values().stream().filter(job -> job.accepted).count()
            + " accepted or answered");
    return countBroken(stage) > 0;
  }

  /**
   * Chooses the workers to cut off: first those that run a stored job and a best-effort job whose
   * client is connected to the owner, then any.
   */
  private static List<Worker> choose(Stage stage, Stage.Vm owner, Random random) {
    List<Worker> order = new ArrayList<>(stage.workers);
    Collections.shuffle(order, random);
    order.sort(
        Comparator.comparing(
            worker -> {
              Set<String> jobs = stage.runs.jobsOn(worker.id);
              boolean both =
                  jobs.stream().anyMatch(id -> !stage.jobs.get(id).bestEffort)
                      && jobs.stream()
                          .map(stage.jobs::get)
                          .anyMatch(job -> job.bestEffort && job.door == owner);
              return both ? 0 : 1;
            }));
    return order.subList(0, CUT_WORKERS);
  }

  /** Waits for a worker that has a new owner; returns how long that took. */
  private static long awaitNextOwner(Stage stage, long sinceMillis) throws InterruptedException {
    while (stage.log.millis() - sinceMillis < TAKEOVER_MILLIS
        && stage.workers.stream().noneMatch(worker -> worker.ownerSinceMillis() >= sinceMillis)) {
      Thread.sleep(1);
    }
    return stage.log.millis() - sinceMillis;
  }

  private static void send(Stage stage, AtomicBoolean traffic, List<Stage.Vm> doors) {
    Random random = new Random(48);
    boolean bestEffort = false;
    while (traffic.get()) {
      bestEffort = !bestEffort;
      ObjectNode body =
          Stage.job("ms=" + TASK_MILLIS + " how=done", TASKS, TASK_CPU, TASK_MILLIS);
      if (bestEffort) {
        body.put("best_effort", true);
      }
      Stage.Vm door;
      synchronized (doors) {
        door = doors.get(random.nextInt(doors.size()));
      }
      boolean repeat = bestEffort;
      Thread.ofVirtual()
          .start(
              () -> {
                Stage.Job job = stage.submit(door, body, TASKS, 6000);
                if (repeat && job.status != 200 && job.status != 429 && job.status != 503) {
                  // No answer: the client sends the job again, to any other VM.
                  pause(RETRY_MILLIS);
                  Stage.Vm other;
                  synchronized (doors) {
                    other = doors.get(0);
                  }
                  stage.submitAgain(other, job, body, 6000);
                }
              });
      pause(PERIOD_MILLIS);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Counts the tasks with two runs at the same time. */
  private static int countBroken(Stage stage) {
    int broken = 0;
    for (Map.Entry<String, List<Runs.Run>> entry : stage.runs.all().entrySet()) {
      List<Runs.Run> runs = entry.getValue();
      for (int second = 1; second < runs.size(); second++) {
        for (int first = 0; first < second; first++) {
          Runs.Run earlier = runs.get(first);
          long start = runs.get(second).startedMillis;
          if (earlier.endedMillis < 0 || earlier.endedMillis > start + MIN_OVERLAP_MILLIS) {
            broken++;
            stage.log.show("TWICE " + entry.getKey() + ": " + runs);
          }
        }
      }
    }
    stage.log.show(broken + " times two runs of a task at the same time");
    return broken;
  }
}
