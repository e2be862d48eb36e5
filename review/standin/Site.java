package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: the store, executors, nodes of the system and clients. */
final class Site {

  final Path root;
  final Path directory;
  final Record record;
  final Store store = new Store();
  final Jobs jobs;
  final List<Executor> executors = new CopyOnWriteArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  final int attempts;

  /** Whether the case causes its disruption; without it, the same run must pass. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  Site(String[] arguments, int attempts) throws Exception {
    root = Path.of(arguments[0]).toAbsolutePath();
    record = new Record(Path.of(arguments[1]).resolve("record.txt"));
    directory = Path.of(arguments[2]);
    this.attempts = attempts;
    jobs = new Jobs(record);
    record.line("CASE", TROUBLE ? "with" : "without", "the disruption");
    store.put(
        "op",
        "config",
        Json.write(
            Json.map(
                "version",
                1,
                "routes",
                List.of(
                    Json.map(
                        "name", "queue-1",
                        "host", Jobs.HOST,
                        "prefix", Jobs.PREFIX,
                        "kind", "non_idempotent",
                        "timeout_ms", 1500,
                        "target_latency_ms", 60,
                        "priority", 0,
                        "service", "service-1",
                        "attempts", attempts,
                        "stretch", 1.6)),
                "services",
                List.of(Json.map("name", "service-1", "rejects_overload", true)),
                "limits",
                Json.map("body_bytes", 262144))));
    Thread.startVirtualThread(
        () -> {
          while (true) {
            List.copyOf(executors).forEach(Executor::expire);
            try {
              Thread.sleep(50);
            } catch (InterruptedException e) {
              return;
            }
          }
        });
  }

  Executor executor(String id, String... labels) {
    Executor executor = new Executor(id, List.of(labels), 16000, record, store, jobs);
    executors.add(executor);
    executor.start();
    return executor;
  }

  Node node(String name) {
    Node node = new Node(name, store, root, directory, record);
    nodes.add(node);
    return node;
  }

  /** Starts nodes and waits until they are ready. */
  List<Node> startNodes(int count) throws InterruptedException {
    List<Node> started = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      started.add(node("node-" + (nodes.size() + 1)));
    }
    started.forEach(Node::start);
    for (Node node : started) {
      if (!node.awaitReady(20_000)) {
        exit(2, node.name + " did not get ready");
      }
    }
    return started;
  }

  /** Returns the node that owns the shard according to the store, or null. */
  Node owner() {
    String row = store.value("lovagerack-owner", "shard-0", "shard");
    if (row == null) {
      return null;
    }
    String address = Json.string(Json.object(row), "address");
    for (Node node : nodes) {
      if (node.peerAddress().equals(address)) {
        return node;
      }
    }
    return null;
  }

  /** Ends the processes and the case. */
  void exit(int code, String reason) {
    record.line("RESULT", reason, "exit", code);
    System.out.println(reason);
    nodes.forEach(Node::destroy);
    System.exit(code);
  }

  /** Reports the broken rules and ends the case. */
  void judge(Rules rules) {
    for (String broken : rules.broken) {
      record.line("BROKEN", broken);
      System.out.println(broken);
    }
    exit(
        rules.broken.isEmpty() ? 0 : 1,
        rules.broken.isEmpty()
            ? "held: " + rules.runs() + " runs"
            : "broken " + rules.broken.size() + " times");
  }
}
