package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An executor as the pages describe it. The specification of a task says what its runs do: words
 * {@code ms=N} (duration), {@code fail} (every run fails) and {@code flaky=P} (share that fails).
 */
final class Executor {

  static final long HOLD_MAXIMUM_MS = 1000;
  static final long GRACE_PERIOD_MS = 50;
  static final long HEARTBEAT_MS = 1500;

  /** One run as the executor saw it; times in milliseconds of the record. */
  static final class Run {
    final Executor executor;
    final String task;
    final int run;
    final long token;
    final String specification;
    final double startedAt;
    final long cpu;
    final double endsAt;
    final String end;
    double endedAt = Double.MAX_VALUE;
    String how = "";
    long number;
    double stopAt = Double.MAX_VALUE;

    /** Time at which the end was taken note of without a lapsed lease in between. */
    double notedAt = Double.MAX_VALUE;

    int lapsesAtEnd;

    Run(
        Executor executor,
        String task,
        int run,
        long token,
        String specification,
        double startedAt,
        long cpu,
        double endsAt,
        String end) {
      this.executor = executor;
      this.task = task;
      this.run = run;
      this.token = token;
      this.specification = specification;
      this.startedAt = startedAt;
      this.cpu = cpu;
      this.endsAt = endsAt;
      this.end = end;
    }
  }

  final String id;
  final int port = Http.freePort();
  final List<String> labels;
  final Record record;
  final Store store;
  final long cpu;

  /** All runs of all lives, for the check. */
  final List<Run> history = new ArrayList<>();

  /** Looks up the processor need of a task, which an order does not carry. */
  interface Needs {
    long cpu(String task);
  }

  private final Needs needs;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<Run> finished = new ArrayList<>();
  private HttpServer server;
  private long highestToken;
  private long nextNumber = 1;
  private long lifeStartNanos;
  private long born;
  private long deadline;
  private boolean leased;
  private int lapses;
  private int life;
  private long sequence;
  private long lastBeat = Long.MIN_VALUE / 2;
  private volatile boolean up;
  private volatile boolean draining;

  /** The executor does not reach the store. */
  volatile boolean cutFromStore;

  /** No machine of the system reaches the executor. */
  volatile boolean cutFromSystem;

  /** Share of orders that get no answer and are carried out 2 to 12 s later. */
  volatile double lateShare;

  /** Every run that starts fails after its time. */
  volatile boolean failsAll;

  /** Delay of every answer, milliseconds. */
  volatile long answerDelay;

  Executor(String id, List<String> labels, long cpu, Record record, Store store, Needs needs) {
    this.id = id;
    this.labels = labels;
    this.cpu = cpu;
    this.record = record;
    this.store = store;
    this.needs = needs;
  }

  /** Starts a life. */
  synchronized void start() {
    lifeStartNanos = System.nanoTime();
    born = Math.max(born + 1, System.currentTimeMillis());
    life++;
    running.clear();
    highestEnded.clear();
    finished.clear();
    highestToken = 0;
    nextNumber = 1;
    deadline = 0;
    leased = false;
    sequence = 0;
    draining = false;
    up = true;
    lastBeat = Long.MIN_VALUE / 2;
    server = Http.serve(port, this::handle);
    record.line("EXECUTOR", id, "up, born", born);
    int thisLife = life;
    Thread.startVirtualThread(
        () -> {
          while (thisLife == life && up) {
            tick();
            try {
              Thread.sleep(4);
            } catch (InterruptedException e) {
              return;
            }
          }
        });
  }

  /** Ends the process at once; its entry stays until it expires. */
  void crash() {
    HttpServer old;
    synchronized (this) {
      up = false;
      double now = record.now();
      running.values().forEach(run -> end(run, now, "crashed", false));
      running.clear();
      old = server;
      notifyAll();
    }
    old.stop(0);
    record.line("EXECUTOR", id, "crashed");
  }

  /** Returns whether something runs. */
  synchronized boolean busy() {
    return !running.isEmpty();
  }

  /** Reports that it drains; {@link #leave} ends it. */
  void drain() {
    draining = true;
    beat();
    record.line("EXECUTOR", id, "draining");
  }

  void leave() {
    crash();
    store.remove("servers", id);
  }

  private long clock() {
    return (System.nanoTime() - lifeStartNanos) / 1_000_000 + 1;
  }

  /** Writes the entry if the store is reached; removes it after three intervals of silence. */
  private synchronized void beat() {
    long now = System.nanoTime() / 1_000_000;
    lastBeat = now;
    sequence++;
    store.put(
        "servers",
        id,
        Json.write(
            Json.map(
                "service", "service-1",
                "address", "127.0.0.1:" + port,
                "zone", "zone-1",
                "version", "v1",
                "slots", 8,
                "born", born,
                "state", draining ? "draining" : "ready",
                "cold_remaining_ms", 0,
                "sequence", sequence,
                "capacity", Json.map("cpu", cpu, "memory_request_mb", 65536, "gpus", 0),
                "labels", labels)));
  }

  /** Waits until the last write of the entry is at least so old. */
  void awaitBeatAge(long milliseconds) throws InterruptedException {
    while (true) {
      synchronized (this) {
        if (System.nanoTime() / 1_000_000 - lastBeat >= milliseconds) {
          return;
        }
      }
      Thread.sleep(2);
    }
  }

  /** Removes the entry of an executor that has been silent for three intervals. */
  synchronized void expire() {
    if (System.nanoTime() / 1_000_000 - lastBeat > 3 * HEARTBEAT_MS
        && store.has("servers", id)) {
      store.remove("servers", id);
      record.line("STORE", "entry of", id, "removed after three intervals of silence");
    }
  }

  private void tick() {
    boolean due = System.nanoTime() / 1_000_000 - lastBeat >= HEARTBEAT_MS;
    if (due && !cutFromStore) {
      beat();
    }
    synchronized (this) {
      if (!up) {
        return;
      }
      double now = record.now();
      boolean alive = clock() < deadline;
      if (leased && !alive) {
        lapses++;
      }
      leased = alive;
      boolean ended = false;
      for (Run run : List.copyOf(running.values())) {
        String how =
            !alive
                ? "lapsed"
                : now >= run.stopAt ? "stopped" : now >= run.endsAt ? run.end : null;
        if (how != null) {
          running.remove(run.task);
          end(run, now, how, true);
          ended = true;
        }
      }
      if (ended) {
        notifyAll();
      }
    }
  }

  private void end(Run run, double now, String how, boolean listed) {
    run.endedAt = now;
    run.how = how;
    run.lapsesAtEnd = lapses;
    highestEnded.merge(run.task, run.run, Math::max);
    if (listed) {
      run.number = nextNumber++;
      finished.add(run);
    }
    record.line("END", run.task, "run", run.run, "on", id, how, listed ? "N=" + run.number : "");
  }

  private Http.Reply handle(HttpExchange exchange, String body) throws Exception {
    if (cutFromSystem) {
      hang();
    }
    int receivedIn = life;
    String path = exchange.getRequestURI().getPath();
    String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
    if (Math.random() < lateShare) {
      Thread.startVirtualThread(
          () -> {
            try {
              Thread.sleep((long) (2000 + Math.random() * 10_000));
              if (up && life == receivedIn) {
                apply(path, expected, Json.object(body), true);
              }
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      Thread.sleep(12_000);
      throw new Http.NoAnswer();
    }
    if (answerDelay > 0) {
      Thread.sleep(answerDelay);
    }
    Http.Reply reply = apply(path, expected, Json.object(body), false);
    if (life != receivedIn || !up) {
      throw new Http.NoAnswer();
    }
    if (cutFromSystem) {
      hang();
    }
    return reply;
  }

  private void hang() throws InterruptedException {
    while (cutFromSystem && up) {
      Thread.sleep(5);
    }
    throw new Http.NoAnswer();
  }

  private synchronized Http.Reply apply(
      String path, String expected, Map<String, Object> order, boolean late)
      throws InterruptedException {
    if (expected != null && !expected.equals(id)) {
      return reply(421, Json.map());
    }
    long token = Json.number(order, "fencing_token");
    if (token < highestToken) {
      return reply(409, Json.map("reason", "fence"));
    }
    highestToken = token;
    return switch (path) {
      case "/run-start" -> runStart(order, late);
      case "/run-stop" -> runStop(order);
      case "/hold" -> hold(order);
      default -> reply(404, Json.map());
    };
  }

  private Http.Reply runStart(Map<String, Object> order, boolean late) {
    String task = Json.string(order, "task");
    int number = (int) Json.number(order, "run");
    long wanted = Json.number(order, "deadline_ms");
    if (wanted <= clock()) {
      return reply(409, Json.map("reason", "late"));
    }
    if (number <= highestEnded.getOrDefault(task, 0)) {
      extend(wanted);
      return reply(409, Json.map("reason", "old"));
    }
    Run current = running.get(task);
    if (current != null && current.run == number) {
      extend(wanted);
      return reply(200, Json.map());
    }
    long need = needs.cpu(task);
    long used = running.values().stream().mapToLong(run -> run.cpu).sum();
    if (used + need > cpu) {
      extend(wanted);
      return reply(409, Json.map("reason", "room"));
    }
    extend(wanted);
    leased = true;
    String specification = Json.string(order, "specification");
    double now = record.now();
    Run run =
        new Run(
            this,
            task,
            number,
            highestToken,
            specification,
            now,
            need,
            now + milliseconds(specification),
            failsAll || fails(specification) ? "failed" : "done");
    running.put(task, run);
    synchronized (history) {
      history.add(run);
    }
    record.line(
        "START", task, "run", number, "on", id, "token", highestToken, late ? "(late order)" : "");
    return reply(200, Json.map());
  }

  private static double milliseconds(String specification) {
    for (String word : specification.split(" ")) {
      if (word.startsWith("ms=")) {
        return Double.parseDouble(word.substring(3));
      }
    }
    return 100;
  }

  private static boolean fails(String specification) {
    for (String word : specification.split(" ")) {
      if (word.equals("fail")
          || (word.startsWith("flaky=") && Math.random() < Double.parseDouble(word.substring(6)))) {
        return true;
      }
    }
    return false;
  }

  private Http.Reply runStop(Map<String, Object> order) {
    String task = Json.string(order, "task");
    int number = (int) Json.number(order, "run");
    Run run = running.get(task);
    if (run != null && run.run == number) {
      if (run.stopAt == Double.MAX_VALUE) {
        run.stopAt = record.now() + GRACE_PERIOD_MS / 2.0;
        record.line("STOP", task, "run", number, "on", id);
      }
    } else {
      highestEnded.merge(task, number, Math::max);
    }
    return reply(200, Json.map());
  }

  private void extend(long wanted) {
    if (wanted > 0) {
      deadline = Math.max(deadline, Math.min(wanted, clock() + HOLD_MAXIMUM_MS));
    }
  }

  private Http.Reply hold(Map<String, Object> order) throws InterruptedException {
    extend(Json.number(order, "deadline_ms"));
    long acknowledged = Json.number(order, "acked_through");
    double now = record.now();
    for (Run run : List.copyOf(finished)) {
      if (run.number <= acknowledged) {
        finished.remove(run);
        if (run.lapsesAtEnd == lapses) {
          run.notedAt = now;
        }
        record.line(
            "NOTED",
            run.task,
            "run",
            run.run,
            "on",
            id,
            run.how,
            run.lapsesAtEnd == lapses ? "" : "(the lease had lapsed)");
      }
    }
    long until = System.nanoTime() + Math.min(2000, Json.number(order, "wait_ms")) * 1_000_000;
    int startedIn = life;
    while (finished.isEmpty() && up && life == startedIn) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    List<Object> runs = new ArrayList<>();
    for (Run run : running.values()) {
      double share = (record.now() - run.startedAt) / Math.max(1, run.endsAt - run.startedAt);
      runs.add(List.of(run.task, run.run, "", Math.min(99, (int) (share * 100)), 1));
    }
    List<Object> ends = new ArrayList<>();
    for (Run run : finished) {
      if (ends.size() < 500) {
        ends.add(List.of(run.number, run.task, run.run, run.how, ""));
      }
    }
    return reply(200, Json.map("running", runs, "finished", ends));
  }

  private Http.Reply reply(int status, Map<String, Object> body) {
    body.put("clock_ms", clock());
    body.put("born", born);
    return new Http.Reply(status, body);
  }
}
