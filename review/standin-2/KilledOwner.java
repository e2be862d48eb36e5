import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case 7: the leading process is killed while an executor lists more than 500 ends. */
final class KilledOwner extends Trial {

  /** The next round is played only if the rule held in the one before. */
  private static final int ROUNDS = 3;

  /** Of ordinary traffic before the next round. */
  private static final long TRAFFIC_MILLIS = 4000;

  private static final int JOBS = 6;
  private static final int TASKS = 125;

  /** The tasks of the last job; those of each earlier job take a submission period longer. */
  private static final int SHORTEST_TASK_MILLIS = 600;

  /** Each job has a last step that needs all tasks of the first one. */
  private static final int LAST_STEP_MILLIS = 3000;

  /** More than an executor returns at a time. */
  private static final int MANY_ENDS = 560;

  /** Of the tasks that run on each executor all the while. */
  private static final int LONG_TASK_MILLIS = 9000;

  private static final int SUBMIT_PERIOD_MILLIS = 350;

  KilledOwner(Path folder) throws IOException {
    super(folder);
  }

  public static void main(String[] arguments) throws IOException {
    new KilledOwner(Path.of(arguments[0])).run();
  }

  @Override
  List<String> play() throws Exception {
    startStore(3);
    for (int index = 0; index < 2; index++) {
      startWorker("seatplan-%08x".formatted(0x5c0e7a21 + index * 7919), "zone-a", 16_000, 0, "a");
    }
    Node first = startNode("frontend-a-1", "zone-a");
    Node second = startNode("frontend-b-1", "zone-b");
    awaitReady(first, second);
    sendTraffic(15_000);
    List<String> broken = playRound(first, second);
    for (int round = 1; round < ROUNDS && broken.isEmpty(); round++) {
      if (trouble) {
        for (Node node : nodes) {
          if (!node.alive()) {
            node.start();
          }
        }
        awaitReady(first, second);
      }
      sendTraffic(now() + TRAFFIC_MILLIS);
      broken = playRound(first, second);
    }
    return broken;
  }

  private List<String> playRound(Node first, Node second) throws Exception {
    Node leader = leader();
    Node other = leader == first ? second : first;
    note("last writer: " + leader.name);
    List<String> jobs = new ArrayList<>();
    String longJob = newJobId();
    Answer taken =
        submit(
            other,
            longJob,
            false,
            List.of(LONG_TASK_MILLIS),
            step(2, 500, LONG_TASK_MILLIS).put("max_per_server", 1));
    note("POST " + longJob + " with one task of 9 s on each executor: " + taken.status());
    if (taken.status() != 200) {
      throw new IOException("the job was not accepted: " + taken);
    }
    jobs.add(longJob);
    for (int index = 0; index < JOBS; index++) {
      String id = newJobId();
      int taskMillis = SHORTEST_TASK_MILLIS + (JOBS - 1 - index) * SUBMIT_PERIOD_MILLIS;
      long sent = now();
      Answer answer =
          submit(
              other,
              id,
              false,
              List.of(taskMillis, LAST_STEP_MILLIS),
              step(TASKS, 20, taskMillis),
              after(step(1, 500, LAST_STEP_MILLIS)));
      note("POST " + id + " with " + TASKS + " tasks of " + taskMillis + " ms and a last one: " + answer.status());
      if (answer.status() != 200) {
        throw new IOException("the job was not accepted: " + answer);
      }
      jobs.add(id);
      sleepUntil(sent + SUBMIT_PERIOD_MILLIS);
    }
    long waitUntil = now() + 2500;
    while (now() < waitUntil && workers.stream().noneMatch(w -> w.unacknowledged() >= MANY_ENDS)) {
      sleep(2);
    }
    for (Worker worker : workers) {
      note(worker.id + " lists " + worker.unacknowledged() + " ends that are not acknowledged");
    }
    if (trouble) {
      note("SIGKILL to " + leader.name);
      leader.kill();
    }
    sleep(10_000);
    for (String id : jobs) {
      Answer answer = state(other, id);
      note("GET " + id + ": " + answer.status() + " " + answer.body());
    }
    return secondStarts(jobs);
  }

  private static ObjectNode after(ObjectNode step) {
    step.putArray("after").add(0);
    return step;
  }

  /** TWICE: a start after a run of the task has ended `done`, if that end is taken note of. */
  private List<String> secondStarts(List<String> jobs) {
    int count = 0;
    String example = "";
    for (String id : jobs) {
      List<RunRecord> all = runsOf(id);
      for (RunRecord done : all) {
        if (!done.how.equals("done") || done.notedMillis < 0 || done.lapsedBeforeNoted) {
          continue;
        }
        for (RunRecord again : all) {
          if (again.task.equals(done.task) && again.startMillis > done.endMillis) {
            count++;
            example = done + "; then " + again;
          }
        }
      }
    }
    return count == 0
        ? List.of()
        : List.of(
            "TWICE: " + count + " starts after a run of the task had ended done; such as: " + example);
  }
}
