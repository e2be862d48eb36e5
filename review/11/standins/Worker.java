package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An executor as PROTOCOL.md tells it, controlled by invocation. A task says in its specification
 * how long it takes and how it ends: {@code ms=200 how=done}.
 */
final class Worker {

  private static final long HOLD_MAXIMUM_MILLIS = 1000;
  private static final int MAX_ENDS = 500;
  private static final long TICK_MILLIS = 5;

  private record Running(Runs.Run run, long startedAtMillis, long endsAtMillis, String how) {
    long percent(long now) {
      return Math.clamp(
          100 * (now - startedAtMillis) / Math.max(1, endsAtMillis - startedAtMillis), 0, 99);
    }
  }

  private record End(long number, Runs.Run run, int lapses) {}

  final String id;
  final String zone;
  final String rack;
  private final Runs runs;
  private final Log log;
  private final MiniHttp.Server server = new MiniHttp.Server(this::handle);
  private final Map<String, Running> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long startNanos = System.nanoTime();
  private long born = System.currentTimeMillis();
  private long highestToken;
  private long leaseUntilMillis;
  private boolean leaseActive;
  private int lapses;
  private long nextEnd = 1;
  private long listedThrough;
  private volatile boolean up;
  private volatile boolean failsAll;
  private int port;
  private volatile long ownerSinceMillis;

  Worker(String id, String zone, String rack, Runs runs, Log log) {
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    this.runs = runs;
    this.log = log;
    Thread.ofVirtual().start(this::tickAll);
  }

  void open() throws IOException {
    port = server.listen();
    up = true;
  }

  boolean up() {
    return up;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Lets every run fail, or no longer. */
  void setFailsAll(boolean fails) {
    failsAll = fails;
  }

  /** Cuts the worker off from everyone, or ends that. */
  void setCut(boolean cut) {
    server.setCut(cut);
    log.line(id, cut ? "is cut off" : "is reachable again");
  }

  /** Returns when the worker first got an order with its present token, in script time. */
  long ownerSinceMillis() {
    return ownerSinceMillis;
  }

  /** Ends the process with all that it runs. */
  synchronized void crash() {
    up = false;
    server.close();
    log.line(id, "crashes with " + running.size() + " runs");
    List.copyOf(running.values()).forEach(lost -> runs.ended(lost.run(), "crashed"));
    running.clear();
    ends.clear();
    highestEnded.clear();
    highestToken = 0;
    leaseUntilMillis = 0;
    leaseActive = false;
    nextEnd = 1;
    listedThrough = 0;
    notifyAll();
  }

  /** Starts the process again under the same identity and address. */
  void restart() throws IOException {
    synchronized (this) {
      startNanos = System.nanoTime();
      born = System.currentTimeMillis();
    }
    server.listen();
    up = true;
    log.line(id, "is back");
  }

  /** Returns the entry in the table of servers. */
  synchronized String entry(String service, long sequence, int cpu) {
    ObjectNode entry =
        Store.MAPPER
            .createObjectNode()
            .put("service", service)
            .put("address", address())
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold_remaining_ms", 0)
            .put("sequence", sequence)
            .put("born", born);
    entry
        .putObject("capacity")
        .put("cpu", cpu)
        .put("memory_request_mb", 65_536)
        .put("gpus", 0);
    entry.putArray("labels").add("a").add(rack);
    return entry.toString();
  }

  private long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000 + 1;
  }

  private MiniHttp.Response handle(MiniHttp.Request request) throws Exception {
    if (request.path().equals("/health")) {
      return new MiniHttp.Response(200, "{}");
    }
    if (!id.equals(request.headers().getOrDefault("expected-instance", id))) {
      return new MiniHttp.Response(421, "{}");
    }
    JsonNode order = Store.MAPPER.readTree(request.body());
    synchronized (this) {
      if (!up) {
        return null;
      }
      if (order.path("fencing_token").asLong() < highestToken) {
        return reject("fence");
      }
      if (order.path("fencing_token").asLong() > highestToken) {
        highestToken = order.path("fencing_token").asLong();
        ownerSinceMillis = log.millis();
        log.line(id, "has a new owner, token " + highestToken);
      }
      return switch (request.path()) {
        case "/run-start" -> start(order);
        case "/run-stop" -> stop(order);
        case "/hold" -> hold(order);
        default -> new MiniHttp.Response(404, "{}");
      };
    }
  }

  private MiniHttp.Response start(JsonNode order) throws IOException {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    if (order.path("deadline_ms").asLong() <= clock()) {
      return reject("late");
    }
    extend(order);
    Running current = running.get(task);
    if (current != null && current.run().number == number) {
      return answer(200, Store.MAPPER.createObjectNode());
    }
    if (number <= highestEnded.getOrDefault(task, 0)) {
      return reject("old");
    }
    Map<String, String> words = new HashMap<>();
    for (String word : order.path("specification").asText().split(" ")) {
      int equals = word.indexOf('=');
      if (equals > 0) {
        words.put(word.substring(0, equals), word.substring(equals + 1));
      }
    }
    Runs.Run run = runs.started(task, number, id, order.path("fencing_token").asLong());
    running.put(
        task,
        new Running(
            run,
            clock(),
            clock() + Long.parseLong(words.getOrDefault("ms", "100")),
            failsAll ? "failed" : words.getOrDefault("how", "done")));
    return answer(200, Store.MAPPER.createObjectNode());
  }

  private MiniHttp.Response stop(JsonNode order) throws IOException {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    highestEnded.merge(task, number, Math::max);
    Running current = running.get(task);
    if (current != null && current.run().number == number) {
      end(task, "stopped");
    }
    return answer(200, Store.MAPPER.createObjectNode());
  }

  private MiniHttp.Response hold(JsonNode order) throws Exception {
    extend(order);
    long acknowledged = order.path("acked_through").asLong();
    for (End end : List.copyOf(ends)) {
      if (end.number() <= acknowledged) {
        ends.remove(end);
        if (end.lapses() == lapses) {
          runs.noted(end.run());
        }
      }
    }
    long until = clock() + Math.min(2000, order.path("wait_ms").asLong());
    long bornAtCall = born;
    while (up && nextEnd - 1 <= listedThrough && clock() < until) {
      wait(Math.max(1, until - clock()));
    }
    if (!up || born != bornAtCall) {
      return null;
    }
    ObjectNode body = Store.MAPPER.createObjectNode().put("born", born);
    ArrayNode list = body.putArray("running");
    running.forEach(
        (task, active) ->
            list.addArray()
                .add(task)
                .add(active.run().number)
                .add("")
                .add(active.percent(clock())));
    ArrayNode finished = body.putArray("finished");
    int listed = 0;
    for (End end : ends) {
      if (listed == MAX_ENDS) {
        break;
      }
      listed++;
      listedThrough = Math.max(listedThrough, end.number());
      finished
          .addArray()
          .add(end.number())
          .add(end.run().task)
          .add(end.run().number)
          .add(end.run().how)
          .add("");
    }
    return answer(200, body);
  }

  private void extend(JsonNode order) {
    if (order.has("deadline_ms")) {
      long granted = Math.min(order.path("deadline_ms").asLong(), clock() + HOLD_MAXIMUM_MILLIS);
      leaseUntilMillis = Math.max(leaseUntilMillis, granted);
      leaseActive |= leaseUntilMillis > clock();
    }
  }

  private void end(String task, String how) {
    Running ended = running.remove(task);
    highestEnded.merge(task, ended.run().number, Math::max);
    runs.ended(ended.run(), how);
    ends.add(new End(nextEnd, ended.run(), lapses));
    nextEnd++;
    notifyAll();
  }

  private void tickAll() {
    try {
      while (true) {
        Thread.sleep(TICK_MILLIS);
        tick();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void tick() {
    long now = clock();
    if (leaseActive && now >= leaseUntilMillis) {
      leaseActive = false;
      lapses++;
    }
    for (Map.Entry<String, Running> entry : List.copyOf(running.entrySet())) {
      if (!leaseActive) {
        end(entry.getKey(), "lapsed");
      } else if (now >= entry.getValue().endsAtMillis()) {
        end(entry.getKey(), entry.getValue().how());
      }
    }
  }

  private MiniHttp.Response reject(String reason) throws IOException {
    return answer(409, Store.MAPPER.createObjectNode().put("reason", reason));
  }

  private MiniHttp.Response answer(int status, ObjectNode body) throws IOException {
    body.put("clock_ms", clock());
    return new MiniHttp.Response(status, Store.MAPPER.writeValueAsBytes(body));
  }
}
