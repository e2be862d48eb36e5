import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Case 9: the leading machine is cut off; then a client cancels a job at it. */
final class StaleOwner extends Trial {

  private static final int CUT_MILLIS = 5500;
  private static final int CANCEL_MILLIS = 3000;
  private static final int ROUNDS = 2;
  private static final int JOBS = 4;
  private static final int CANCEL_PERIOD_MILLIS = 30;

  /** Steps of the job, each of which waits for the one before. */
  private static final int STEPS = 14;

  private static final int TASK_MILLIS = 1000;

  StaleOwner(Path folder) throws IOException {
    super(folder);
  }

  public static void main(String[] arguments) throws IOException {
    new StaleOwner(Path.of(arguments[0])).run();
  }

  @Override
  List<String> play() throws Exception {
    startStore(3);
    for (int index = 0; index < 4; index++) {
      startWorker("seatplan-%08x".formatted(0x5c0e7a21 + index * 7919), "zone-a", 16_000, 0, "a");
    }
    Node first = startNode("frontend-a-1", "zone-a");
    Node second = startNode("frontend-b-1", "zone-b");
    awaitReady(first, second);
    sleepUntil(15_000);

    List<String> broken = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      playRound(first, second, broken);
    }
    return broken;
  }

  private void playRound(Node first, Node second, List<String> broken) throws Exception {
    Node leader = leader();
    Node other = leader == first ? second : first;
    note("last writer: " + leader.name);
    long cutAt = now();
    if (trouble) {
      note("cut of " + leader.name + " from the store and from the other machine");
      leader.cut();
      other.fromPeers.cut();
    }
    sleepUntil(cutAt + CUT_MILLIS - 1500);
    List<String> jobs = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      jobs.add(submitLongJob(other));
    }
    sleepUntil(cutAt + CUT_MILLIS);
    if (trouble) {
      note("end of the cut");
      leader.heal();
      other.heal();
    }
    long[] acknowledged = new long[JOBS];
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      int job = index;
      clients.add(
          Thread.ofVirtual()
              .start(() -> acknowledged[job] = cancelUntilAcknowledged(leader, jobs.get(job))));
      sleep(CANCEL_PERIOD_MILLIS);
    }
    for (Thread thread : clients) {
      thread.join();
    }
    sleep(CANCEL_MILLIS + 2500);
    for (int index = 0; index < JOBS; index++) {
      check(other, jobs.get(index), acknowledged[index], broken);
    }
  }

  private String submitLongJob(Node node) throws IOException {
    ObjectNode[] steps = new ObjectNode[STEPS];
    for (int index = 0; index < STEPS; index++) {
      steps[index] = step(2, 500, TASK_MILLIS);
      if (index > 0) {
        steps[index].putArray("after").add(index - 1);
      }
    }
    String id = newJobId();
    Answer answer = submit(node, id, false, Collections.nCopies(STEPS, TASK_MILLIS), steps);
    note("POST " + id + " with " + STEPS + " steps at " + node.name + ": " + answer.status());
    if (answer.status() != 200) {
      throw new IOException("the job was not accepted: " + answer);
    }
    return id;
  }

  /** Cancels a job as a client does, and returns when that was acknowledged; 0 if it wasn't. */
  private long cancelUntilAcknowledged(Node node, String id) {
    long limit = now() + 4000;
    while (now() < limit) {
      Answer answer = cancel(node, id);
      note("DELETE " + id + " at " + node.name + ": " + answer.status() + " " + answer.body());
      if (answer.status() / 100 == 2 || answer.status() == 410) {
        return now();
      }
      sleep(50);
    }
    return 0;
  }

  /** UNASKED: a task is started later than cancel_ms after the cancel was acknowledged. */
  private void check(Node node, String id, long acknowledged, List<String> broken)
      throws IOException {
    Answer answer = state(node, id);
    note("GET " + id + " at " + node.name + ": " + answer.status() + " " + answer.body());
    if (acknowledged == 0) {
      throw new IOException("the cancel was not acknowledged");
    }
    List<RunRecord> late =
        runsOf(id).stream()
            .filter(run -> run.startMillis > acknowledged + CANCEL_MILLIS)
            .toList();
    if (!late.isEmpty()) {
      broken.add(
          "UNASKED: "
              + late.size()
              + " starts later than cancel_ms after the cancel was acknowledged at "
              + acknowledged
              + "; the first: "
              + late.get(0));
    }
    if (answer.body().contains("running")) {
      cancel(node, id);
    }
  }
}
