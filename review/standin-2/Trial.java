import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Base of a case: a small deployment of the project's own program as separate processes, with
 * stand-ins for the platform's store, the executors and the clients in this process. A case exits
 * with 1 if the rule was broken, 0 if it held and 2 if it could not run.
 */
abstract class Trial {

  static final ObjectMapper MAPPER = new ObjectMapper();
  static final String LOCALHOST = "127.0.0.1";

  /** Host name and prefix of the one queue. */
  static final String QUEUE_HOST = "choir.example";

  static final String PREFIX = "/seat/";
  static final String SERVICE = "seatplan";

  /** The limit of a script is 120 s. */
  private static final Duration LIMIT = Duration.ofSeconds(105);

  private static final Duration START_LIMIT = Duration.ofSeconds(30);

  /** A run of a task at an executor; {@code endMillis} is negative while it runs. */
  static final class RunRecord {
    final String worker;
    final String task;
    final int run;
    final long token;
    final long startMillis;
    final int cpu;
    final long lengthMillis;
    long endMillis = -1;
    String how = "";
    long notedMillis = -1;
    boolean lapsedBeforeNoted;

    RunRecord(
        String worker,
        String task,
        int run,
        long token,
        long startMillis,
        int cpu,
        long lengthMillis) {
      this.worker = worker;
      this.task = task;
      this.run = run;
      this.token = token;
      this.startMillis = startMillis;
      this.cpu = cpu;
      this.lengthMillis = lengthMillis;
    }

    String jobId() {
      return task.substring(0, task.indexOf('.'));
    }

    @Override
    public String toString() {
      return "task "
          + task
          + " run "
          + run
          + " on "
          + worker
          + " (token "
          + token
          + ") from "
          + startMillis
          + " to "
          + (endMillis < 0 ? "now" : endMillis + " " + how)
          + (notedMillis < 0 ? "" : ", noted at " + notedMillis);
    }
  }

  /** Answer to a client; status 0 if there was none. */
  record Answer(int status, String body) {}

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Path temporary;
  final long startedNanos = System.nanoTime();
  final List<RunRecord> runs = new ArrayList<>();
  final Map<String, JsonNode> stepsOfJobs = new ConcurrentHashMap<>();
  final List<Node> nodes = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  Store store;
  private final PrintWriter record;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  Trial(Path folder) throws IOException {
    this.folder = folder;
    this.temporary = Files.createTempDirectory("review-trial");
    this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Returns what broke the rule; empty if it held. */
  abstract List<String> play() throws Exception;

  /** Plays the case and exits. */
  final void run() {
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              sleep(LIMIT.toMillis());
              note("the case took too long");
              Runtime.getRuntime().halt(exit(2));
            });
    int status;
    try {
      note("case " + folder.getFileName() + ", trouble " + (trouble ? "1" : "0"));
      List<String> broken = play();
      synchronized (this) {
        for (RunRecord run : runs) {
          record.println("run: " + run);
        }
      }
      broken.forEach(line -> note("BROKEN: " + line));
      note(broken.isEmpty() ? "the rule held" : "the rule was broken");
      status = broken.isEmpty() ? 0 : 1;
    } catch (Exception e) {
      note("the case could not run: " + e);
      e.printStackTrace(record);
      status = 2;
    }
    Runtime.getRuntime().halt(exit(status));
  }

  private int exit(int status) {
    endProcesses();
    record.flush();
    return status;
  }

  private void endProcesses() {
    nodes.forEach(Node::kill);
    String kept = System.getenv("KEEP_LOGS");
    if (kept != null) {
      System.err.println("logs in " + temporary);
      return;
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException | RuntimeException e) {
      // The folder is a temporary one.
    }
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long now() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  synchronized void note(String line) {
    String text = "%7d %s".formatted(now(), line);
    record.println(text);
    System.out.println(text);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void sleepUntil(long millis) {
    sleep(millis - now());
  }

  void await(String what, long limitMillis, BooleanSupplier condition) throws IOException {
    long end = now() + limitMillis;
    while (!condition.getAsBoolean()) {
      if (now() > end) {
        throw new IOException("not within " + limitMillis + " ms: " + what);
      }
      sleep(5);
    }
  }

  /** Returns a free port below those that the kernel gives to connections. */
  static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOCALHOST))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another port may be free.
      }
    }
  }

  /** Starts the store with the configuration; {@code attempts} and the rest are those of a route. */
  void startStore(int attempts) throws IOException {
    store = new Store(this);
    ObjectNode configuration = MAPPER.createObjectNode().put("version", 7);
    configuration
        .putArray("routes")
        .addObject()
        .put("name", "layouts")
        .put("host", QUEUE_HOST)
        .put("prefix", PREFIX)
        .put("kind", "non_idempotent")
        .put("timeout_ms", 60_000)
        .put("target_latency_ms", 60)
        .put("priority", 0)
        .put("service", SERVICE)
        .put("attempts", attempts)
        .put("stretch", 1.6);
    configuration
        .putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("rejects_overload", true);
    configuration.putObject("limits").put("body_bytes", 262_144);
    store.put("op", "config", configuration.toString());
  }

  Worker startWorker(String id, String zone, int cpu, int gpus, String... labels)
      throws IOException {
    Worker worker = new Worker(this, id, zone, cpu, gpus, List.of(labels));
    workers.add(worker);
    return worker;
  }

  Node startNode(String name, String zone) throws IOException {
    Node node = new Node(this, name, zone);
    nodes.add(node);
    node.start();
    return node;
  }

  /** Waits until the nodes report that they are ready, as the platform's balancer does. */
  void awaitReady(Node... awaited) throws IOException {
    for (Node node : awaited) {
      await("readiness of " + node.name, START_LIMIT.toMillis(), node::ready);
    }
    // The program plays jobs against itself after its start; traffic starts 15 s after the machines.
    note("ready: " + Stream.of(awaited).map(node -> node.name).toList());
  }

  static String newJobId() {
    return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
  }

  /** A step of a job with the fields that it needs. */
  static ObjectNode step(int count, int cpu, int estimatedMillis) {
    return MAPPER
        .createObjectNode()
        .put("count", count)
        .put("cpu", cpu)
        .put("memory_request_mb", 16)
        .put("estimated_ms", estimatedMillis);
  }

  /**
   * Submits a job.
   *
   * @param taskMillis duration of the tasks of each step
   */
  Answer submit(
      Node node, String id, boolean bestEffort, List<Integer> taskMillis, ObjectNode... steps) {
    ObjectNode job = MAPPER.createObjectNode();
    StringBuilder specification = new StringBuilder();
    taskMillis.forEach(millis -> specification.append(millis).append(' '));
    job.put("specification", specification.toString().trim());
    ArrayNode list = job.putArray("steps");
    for (ObjectNode step : steps) {
      list.add(step);
    }
    if (bestEffort) {
      job.put("best_effort", true);
    }
    stepsOfJobs.put(id, list);
    return call(node, "POST", PREFIX + id, job.toString(), 30_000);
  }

  Answer state(Node node, String id) {
    return call(node, "GET", PREFIX + id, "", 1500);
  }

  Answer cancel(Node node, String id) {
    return call(node, "DELETE", PREFIX + id, "", 1500);
  }

  Answer call(Node node, String method, String path, String body, long deadlineMillis) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node.clientAddress + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Host", QUEUE_HOST)
            .header("Content-Type", "application/json")
            .header("Deadline-Milliseconds", Long.toString(deadlineMillis))
            .timeout(Duration.ofMillis(deadlineMillis + 500))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Ordinary traffic for some seconds: 30 jobs a second that needn't be kept, of 16 tasks each. */
  void sendTraffic(long untilMillis) throws InterruptedException {
    List<Thread> clients = new ArrayList<>();
    while (now() < untilMillis) {
      Node node = nodes.get(clients.size() % nodes.size());
      clients.add(
          Thread.ofVirtual()
              .start(() -> submit(node, newJobId(), true, List.of(60), step(16, 500, 60))));
      sleep(33);
    }
    for (Thread thread : clients) {
      thread.join();
    }
    synchronized (this) {
      note("traffic before: " + clients.size() + " jobs, " + runs.size() + " runs");
      runs.clear();
    }
  }

  /** Returns the process that last wrote to the store under a condition. */
  Node leader() {
    return store.lastWriter();
  }

  synchronized List<RunRecord> runsOf(String jobId) {
    return runs.stream().filter(run -> run.jobId().equals(jobId)).toList();
  }

  static JsonNode parse(byte[] text) throws IOException {
    return MAPPER.readTree(text);
  }
}
