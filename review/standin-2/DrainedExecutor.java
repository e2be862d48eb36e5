import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case 10: an executor is taken away that the second step of a job needs. */
final class DrainedExecutor extends Trial {

  /** Two shards, by the deployed figure of 40 executors for each. */
  private static final int EXECUTORS = 80;

  private static final int SHARDS = 2;
  private static final int JOBS = 10;

  DrainedExecutor(Path folder) throws IOException {
    super(folder);
  }

  public static void main(String[] arguments) throws IOException {
    new DrainedExecutor(Path.of(arguments[0])).run();
  }

  /** As ShardMap places workers; the ids of executors are random, and this is one draw of them. */
  private static int shardOf(String id) {
    long mixed = id.hashCode() * 0x9E3779B97F4A7C15L;
    return (int) Long.remainderUnsigned(mixed >>> 16, SHARDS);
  }

  private static String idIn(int shard) {
    while (true) {
      String id = "i-" + newJobId().substring(0, 8);
      if (shardOf(id) == shard) {
        return id;
      }
    }
  }

  @Override
  List<String> play() throws Exception {
    startStore(3);
    startWorker(idIn(0), "zone-a", 16_000, JOBS, "a", "r1-1");
    Worker leaving = startWorker(idIn(0), "zone-a", 16_000, 0, "b", "r1-2");
    startWorker(idIn(1), "zone-b", 16_000, 0, "b", "r2-1");
    for (int index = 3; index < EXECUTORS; index++) {
      startWorker(idIn(index % SHARDS), index % 2 == 0 ? "zone-a" : "zone-b", 16_000, 0, "a", "r" + index % 2 + "-" + index / 12);
    }
    Node first = startNode("frontend-a-1", "zone-a");
    Node second = startNode("frontend-b-1", "zone-b");
    awaitReady(first, second);
    sleepUntil(15_000);

    Map<String, Answer> answers = new LinkedHashMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      String id = newJobId();
      Node node = nodes.get(index % 2);
      clients.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    ObjectNode last = step(2, 500, 100).put("required_label", "b");
                    last.putArray("after").add(0);
                    Answer answer =
                        submit(
                            node, id, true, List.of(900, 100), step(1, 500, 900).put("gpus", 1), last);
                    note("POST " + id + " at " + node.name + ": " + answer.status() + " " + answer.body());
                    synchronized (answers) {
                      answers.put(id, answer);
                    }
                  }));
    }
    sleep(200);
    if (trouble) {
      note(leaving.id + " drains");
      leaving.drain();
    }
    for (Thread thread : clients) {
      thread.join(20_000);
    }
    List<String> broken = new ArrayList<>();
    synchronized (answers) {
      answers.forEach(
          (id, answer) -> {
            List<RunRecord> started = runsOf(id);
            if ((answer.status() == 503 || answer.status() == 429) && !started.isEmpty()) {
              broken.add(
                  "REFUSED: the only attempt to hand in "
                      + id
                      + " was answered "
                      + answer.status()
                      + ", and "
                      + started.get(0));
            }
          });
    }
    return broken;
  }
}
