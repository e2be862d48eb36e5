import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.LongPredicate;

/**
 * An executor as PROTOCOL.md describes it, in control mode `invocation`. It guards its capacity,
 * keeps the highest fencing token, ends everything when its lease expires, and returns the ends
 * that are not acknowledged 500 at a time.
 */
final class Worker {

  private static final long HOLD_MAXIMUM_MILLIS = 1000;
  private static final long HEARTBEAT_MILLIS = 1500;
  private static final int ENDS_AT_A_TIME = 500;

  private record End(long number, Trial.RunRecord run) {}

  private final Trial trial;
  final String id;
  private final String zone;
  private final int cpu;
  private final int gpus;
  private final List<String> labels;
  private volatile long born = System.currentTimeMillis();
  private volatile long clockStartNanos = System.nanoTime();
  private HttpServer server;
  private final Map<String, Trial.RunRecord> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final Deque<End> ends = new ArrayDeque<>();
  private int usedCpu;
  private long highestToken;
  private long leaseUntil;
  private boolean leaseActive;
  private long nextEnd = 1;
  private long sequence;
  private boolean draining;
  private volatile boolean crashed;

  /** Whether a request arrives, by the token of its sender; the others are lost on the way. */
  private volatile LongPredicate arrives = token -> true;

  private volatile boolean reachesStore = true;

  Worker(Trial trial, String id, String zone, int cpu, int gpus, List<String> labels)
      throws IOException {
    this.trial = trial;
    this.id = id;
    this.zone = zone;
    this.cpu = cpu;
    this.gpus = gpus;
    this.labels = labels;
    open(0);
  }

  private void open(int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(Trial.LOCALHOST, port), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(
        "/",
        exchange -> {
          try (exchange) {
            handle(exchange);
          }
        });
    server.start();
    Thread.ofVirtual().start(this::beat);
    Thread.ofVirtual().start(this::tick);
  }

  /** The process ends without a word; its entry is removed after three heartbeat intervals. */
  void crash() {
    synchronized (this) {
      crashed = true;
      running.values().forEach(run -> end(run, "crashed"));
      running.clear();
      usedCpu = 0;
      ends.clear();
      notifyAll();
    }
    server.stop(0);
    Thread.ofVirtual()
        .start(
            () -> {
              Trial.sleep(3 * HEARTBEAT_MILLIS);
              if (crashed) {
                trial.store.remove("servers", id);
              }
            });
  }

  /** Starts the executor again under its id, after a crash; it knows nothing of before. */
  void restart() throws IOException {
    synchronized (this) {
      born = System.currentTimeMillis();
      clockStartNanos = System.nanoTime();
      highestEnded.clear();
      highestToken = 0;
      leaseUntil = 0;
      nextEnd = 1;
      sequence = 0;
      crashed = false;
    }
    open(server.getAddress().getPort());
  }

  /** Reports that the executor drains; it serves on. */
  void drain() {
    synchronized (this) {
      draining = true;
    }
    register();
  }

  /** Cuts the executor off from the store and from every sender but some. */
  void cut(LongPredicate reachableSenders) {
    arrives = reachableSenders;
    reachesStore = false;
    long sequenceBefore = sequence;
    Thread.ofVirtual()
        .start(
            () -> {
              Trial.sleep(3 * HEARTBEAT_MILLIS);
              if (!reachesStore && sequence == sequenceBefore) {
                trial.store.remove("servers", id);
              }
            });
  }

  /** Cuts the executor off from some senders only. */
  void cutFromSenders(LongPredicate reachableSenders) {
    arrives = reachableSenders;
  }

  void heal() {
    arrives = token -> true;
    reachesStore = true;
    register();
  }

  /** Returns the number of ends that are not acknowledged. */
  synchronized int unacknowledged() {
    return ends.size();
  }

  synchronized int runningCount() {
    return running.size();
  }

  private void beat() {
    while (!crashed) {
      if (reachesStore) {
        register();
      }
      Trial.sleep(HEARTBEAT_MILLIS);
    }
  }

  private void register() {
    ObjectNode entry = Trial.MAPPER.createObjectNode();
    synchronized (this) {
      if (crashed) {
        return;
      }
      sequence++;
      entry
          .put("service", Trial.SERVICE)
          .put("address", Trial.LOCALHOST + ":" + server.getAddress().getPort())
          .put("zone", zone)
          .put("version", "v1")
          .put("slots", 8)
          .put("state", draining ? "draining" : "ready")
          .put("cold_remaining_ms", 0)
          .put("born", born)
          .put("sequence", sequence);
      if (draining) {
        entry.put("drain_remaining_ms", 2000);
      }
    }
    entry.putObject("capacity").put("cpu", cpu).put("memory_request_mb", 65_536).put("gpus", gpus);
    ArrayNode list = entry.putArray("labels");
    labels.forEach(list::add);
    trial.store.put("servers", id, entry.toString());
  }

  private long clock() {
    return (System.nanoTime() - clockStartNanos) / 1_000_000 + 1;
  }

  private void tick() {
    while (!crashed) {
      Trial.sleep(running.isEmpty() ? 10 : 2);
      synchronized (this) {
        long now = clock();
        if (leaseActive && now >= leaseUntil) {
          leaseActive = false;
          for (End end : ends) {
            end.run().lapsedBeforeNoted = true;
          }
        }
        for (Trial.RunRecord run : List.copyOf(running.values())) {
          if (now >= leaseUntil) {
            finish(run, "lapsed");
          } else if (trial.now() >= run.startMillis + run.lengthMillis) {
            finish(run, "done");
          }
        }
      }
    }
  }

  private void finish(Trial.RunRecord run, String how) {
    running.remove(run.task);
    usedCpu -= run.cpu;
    end(run, how);
    highestEnded.merge(run.task, run.run, Math::max);
    ends.add(new End(nextEnd, run));
    nextEnd++;
    notifyAll();
  }

  private void end(Trial.RunRecord run, String how) {
    run.endMillis = trial.now();
    run.how = how;
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonNode order = Trial.parse(exchange.getRequestBody().readAllBytes());
    long token = order.path("fencing_token").asLong();
    if (!arrives.test(token)) {
      while (!arrives.test(token)) {
        Trial.sleep(50);
      }
      throw new IOException("the request was lost");
    }
    if (!id.equals(exchange.getRequestHeaders().getFirst("Expected-Instance"))) {
      respond(exchange, 421, Trial.MAPPER.createObjectNode());
      return;
    }
    synchronized (this) {
      if (token < highestToken) {
        reject(exchange, "fence");
        return;
      }
      highestToken = token;
    }
    switch (exchange.getRequestURI().getPath()) {
      case "/run-start" -> {
        String reason = start(order);
        if (reason.isEmpty()) {
          respond(exchange, 200, Trial.MAPPER.createObjectNode());
        } else {
          reject(exchange, reason);
        }
      }
      case "/run-stop" -> {
        stop(order.path("task").asText(), order.path("run").asInt());
        respond(exchange, 200, Trial.MAPPER.createObjectNode());
      }
      case "/hold" -> hold(exchange, order);
      default -> respond(exchange, 404, Trial.MAPPER.createObjectNode());
    }
  }

  private synchronized void extend(JsonNode order) {
    if (order.has("deadline_ms")) {
      leaseUntil =
          Math.max(
              leaseUntil, Math.min(order.path("deadline_ms").asLong(), clock() + HOLD_MAXIMUM_MILLIS));
      leaseActive = leaseUntil > clock();
    }
  }

  private synchronized String start(JsonNode order) {
    String task = order.path("task").asText();
    int run = order.path("run").asInt();
    if (order.path("deadline_ms").asLong() <= clock()) {
      return "late";
    }
    extend(order);
    Trial.RunRecord current = running.get(task);
    if (current != null && current.run == run) {
      return "";
    }
    if (run <= highestEnded.getOrDefault(task, 0) || current != null) {
      return "old";
    }
    String[] parts = task.split("\\.");
    int step = Integer.parseInt(parts[2]);
    JsonNode steps = trial.stepsOfJobs.get(parts[0]);
    int needed = steps == null ? 0 : steps.path(step).path("cpu").asInt();
    if (usedCpu + needed > cpu) {
      return "room";
    }
    Trial.RunRecord started =
        new Trial.RunRecord(
            id,
            task,
            run,
            order.path("fencing_token").asLong(),
            trial.now(),
            needed,
            Long.parseLong(order.path("specification").asText().split(" ")[step]));
    running.put(task, started);
    usedCpu += needed;
    synchronized (trial) {
      trial.runs.add(started);
    }
    return "";
  }

  private synchronized void stop(String task, int run) {
    highestEnded.merge(task, run, Math::max);
    Trial.RunRecord current = running.get(task);
    if (current != null && current.run <= run) {
      finish(current, "stopped");
    }
  }

  private void hold(HttpExchange exchange, JsonNode order) throws IOException {
    extend(order);
    long through = order.path("acked_through").asLong();
    ObjectNode answer = Trial.MAPPER.createObjectNode();
    synchronized (this) {
      while (!ends.isEmpty() && ends.peek().number() <= through) {
        ends.remove().run().notedMillis = trial.now();
      }
      long end = System.nanoTime() + order.path("wait_ms").asLong() * 1_000_000;
      while (ends.isEmpty() && !crashed) {
        long remaining = (end - System.nanoTime()) / 1_000_000;
        if (remaining <= 0) {
          break;
        }
        try {
          wait(remaining);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      if (crashed) {
        throw new IOException("the executor has crashed");
      }
      answer.put("born", born);
      ArrayNode list = answer.putArray("running");
      for (Trial.RunRecord run : running.values()) {
        long percent = Math.min(99, 100 * (trial.now() - run.startMillis) / run.lengthMillis);
        list.addArray().add(run.task).add(run.run).add("").add(percent).add(0);
      }
      ArrayNode finished = answer.putArray("finished");
      ends.stream()
          .limit(ENDS_AT_A_TIME)
          .forEach(
              listed ->
                  finished
                      .addArray()
                      .add(listed.number())
                      .add(listed.run().task)
                      .add(listed.run().run)
                      .add(listed.run().how)
                      .add(""));
    }
    respond(exchange, 200, answer);
  }

  private void reject(HttpExchange exchange, String reason) throws IOException {
    respond(exchange, 409, Trial.MAPPER.createObjectNode().put("reason", reason));
  }

  private void respond(HttpExchange exchange, int status, ObjectNode answer) throws IOException {
    byte[] body = answer.put("clock_ms", clock()).toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
  }
}
