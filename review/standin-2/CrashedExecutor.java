import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Case 6: one executor crashes on which the tasks of a stored job run, and starts again. */
final class CrashedExecutor extends Trial {

  private static final int EXECUTORS = 24;
  private static final int TASKS = 150;
  private static final int TASK_CPU = 100;
  private static final int TASK_MILLIS = 3000;
  private static final long DOWN_MILLIS = 3000;
  private static final long FINISH_MILLIS = 14_000;

  CrashedExecutor(Path folder) throws IOException {
    super(folder);
  }

  public static void main(String[] arguments) throws IOException {
    new CrashedExecutor(Path.of(arguments[0])).run();
  }

  @Override
  List<String> play() throws Exception {
    startStore(3);
    for (int index = 0; index < EXECUTORS; index++) {
      startWorker("seatplan-%08x".formatted(0x5c0e7a21 + index * 7919), "zone-a", 16_000, 0, "a");
    }
    Node first = startNode("frontend-a-1", "zone-a");
    Node second = startNode("frontend-b-1", "zone-b");
    awaitReady(first, second);
    sendTraffic(15_000);

    List<String> jobs = new ArrayList<>();
    String id = newJobId();
    Answer answer =
        submit(first, id, false, List.of(TASK_MILLIS), step(TASKS, TASK_CPU, TASK_MILLIS));
    note("POST " + id + ", stored, with " + TASKS + " tasks: " + answer.status());
    if (answer.status() != 200) {
      throw new IOException("the job was not accepted: " + answer);
    }
    jobs.add(id);
    sleep(1200);
    Worker busiest =
        workers.stream().max(Comparator.comparingInt(Worker::runningCount)).orElseThrow();
    note(busiest.id + " runs " + busiest.runningCount() + " tasks");
    if (trouble) {
      note("crash of " + busiest.id);
      busiest.crash();
    }
    sleep(DOWN_MILLIS);
    if (trouble) {
      busiest.restart();
      note("start of " + busiest.id);
    }
    sleep(5000);
    String later = newJobId();
    answer = submit(second, later, false, List.of(100), step(2, 500, 100));
    note("POST " + later + " with 2 tasks: " + answer.status() + " " + answer.body());
    if (answer.status() == 200) {
      jobs.add(later);
    }
    long trafficEnd = now();
    sleepUntil(trafficEnd + FINISH_MILLIS);
    return idleJobs(jobs);
  }

  /** LOST: for 3 s, a job has nothing running though a task's turn has come and there is room. */
  private List<String> idleJobs(List<String> jobs) {
    long from = now();
    List<String> unfinished = new ArrayList<>();
    for (String id : jobs) {
      Answer answer = state(first(), id);
      note("GET " + id + ": " + answer.status() + " " + answer.body());
      if (!answer.body().contains("completed")) {
        unfinished.add(id);
      }
    }
    sleep(3500);
    long until = now();
    List<String> broken = new ArrayList<>();
    for (String id : unfinished) {
      Answer answer = state(first(), id);
      note("GET " + id + ": " + answer.status() + " " + answer.body());
      boolean ranMeanwhile =
          runsOf(id).stream()
              .anyMatch(run -> run.endMillis < 0 || (run.endMillis > from && run.startMillis < until));
      if (!ranMeanwhile && !answer.body().contains("completed")) {
        long done = runsOf(id).stream().filter(run -> run.how.equals("done")).count();
        broken.add(
            "LOST: the accepted job "
                + id
                + " has had nothing running for 3 s, "
                + done
                + " of its tasks are done, and the idle executors have room for the others");
      }
    }
    note("transactions that the store refused: " + store.refusals());
    return broken;
  }

  private Node first() {
    return nodes.get(0);
  }
}
