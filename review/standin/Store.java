package review;

import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The platform's store: rows, transactions and the feed. A door is the path of one caller. */
final class Store {

  /** What a caller's path to the store does. */
  enum Fault {
    NONE,
    /** Answers 503 and does nothing. */
    REFUSES,
    /** Does nothing and does not answer. */
    SILENT,
    /** Applies transactions and does not answer them. */
    LOSES,
    /** Does not answer transactions and applies them 1 to 4 s later if their condition holds. */
    LATE
  }

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int order = table.compareTo(other.table);
      order = order != 0 ? order : part.compareTo(other.part);
      return order != 0 ? order : key.compareTo(other.key);
    }
  }

  private record Row(String value, long version) {}

  private record Change(Key key, String value, long version, boolean deleted) {}

  /** Path of one caller to the store. */
  final class Door {
    final int port = Http.freePort();
    volatile Fault fault = Fault.NONE;

    /** Share of transactions to which the fault applies. */
    volatile double share = 1;

    /** Time of one call in milliseconds. */
    volatile long callMs = TRANSACTION_MS;

    Door() {
      Http.serve(port, (exchange, body) -> handle(this, exchange, body));
    }

    String address() {
      return "127.0.0.1:" + port;
    }
  }

  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long version;

  /** Time of one call to a sound store in milliseconds. */
  private static final long TRANSACTION_MS = 4;

  private Http.Reply handle(Door door, HttpExchange exchange, String body) throws Exception {
    String path = exchange.getRequestURI().getPath();
    boolean transaction = path.equals("/rows-tx");
    Fault fault = Math.random() < door.share ? door.fault : Fault.NONE;
    if (fault == Fault.REFUSES) {
      return new Http.Reply(503, Json.map());
    }
    if (fault == Fault.SILENT) {
      while (door.fault == Fault.SILENT) {
        Thread.sleep(20);
      }
      throw new Http.NoAnswer();
    }
    Thread.sleep(door.callMs);
    if (transaction && fault == Fault.LATE) {
      Thread.startVirtualThread(
          () -> {
            try {
              Thread.sleep((long) (1000 + Math.random() * 3000));
              apply(Json.object(body));
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      silence();
    }
    Http.Reply reply =
        switch (path) {
          case "/rows-tx" -> apply(Json.object(body));
          case "/rows-get" -> get(Http.query(exchange));
          case "/rows-feed" -> feed(Http.query(exchange));
          default -> new Http.Reply(404, Json.map());
        };
    if (transaction && fault == Fault.LOSES) {
      silence();
    }
    return reply;
  }

  /** Leaves the request without an answer for longer than any caller waits. */
  private static void silence() throws InterruptedException {
    Thread.sleep(10_000);
    throw new Http.NoAnswer();
  }

  /** Writes a row, as the operator or an executor does. */
  synchronized void put(String table, String key, String text) {
    version++;
    change(
        new Key(table, "", key),
        Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
        false);
    notifyAll();
  }

  /** Removes a row. */
  synchronized void remove(String table, String key) {
    if (rows.containsKey(new Key(table, "", key))) {
      version++;
      change(new Key(table, "", key), "", true);
      notifyAll();
    }
  }

  synchronized boolean has(String table, String key) {
    return rows.containsKey(new Key(table, "", key));
  }

  /** Returns the decoded value of a system row, or null. */
  synchronized String value(String table, String part, String key) {
    Row row = rows.get(new Key(table, part, key));
    return row == null
        ? null
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private void change(Key key, String value, boolean deleted) {
    if (deleted) {
      rows.remove(key);
    } else {
      rows.put(key, new Row(value, version));
    }
    history.add(new Change(key, value, version, deleted));
  }

  private synchronized Http.Reply apply(Map<String, Object> transaction) {
    List<Object> current = new ArrayList<>();
    boolean holds = true;
    for (Map<String, Object> condition : Json.objects(transaction, "expected")) {
      Key key = key(condition);
      Row row = rows.get(key);
      holds &= (row == null ? 0 : row.version()) == Json.number(condition, "schema_version");
      if (row != null) {
        current.add(node(key, row.value(), row.version(), false));
      }
    }
    if (!holds) {
      return new Http.Reply(412, answer("rows", current));
    }
    version++;
    for (Map<String, Object> write : Json.objects(transaction, "write")) {
      change(key(write), Json.string(write, "value"), false);
    }
    for (Map<String, Object> removal : Json.objects(transaction, "remove")) {
      change(key(removal), "", true);
    }
    notifyAll();
    return new Http.Reply(200, answer());
  }

  private synchronized Http.Reply get(Map<String, String> query) {
    String table = query.get("table");
    String part = query.getOrDefault("part", "");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    String target = query.get("target");
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<Key, Row> entry :
        rows.tailMap(new Key(table, part, query.getOrDefault("from", "")), true).entrySet()) {
      Key key = entry.getKey();
      if (!key.table().equals(table)
          || !key.part().equals(part)
          || (target != null && key.key().compareTo(target) >= 0)) {
        break;
      }
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.add(node(key, entry.getValue().value(), entry.getValue().version(), false));
    }
    return new Http.Reply(200, answer("rows", found, "has_more", more));
  }

  private synchronized Http.Reply feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
    while (true) {
      List<Object> found = new ArrayList<>();
      for (int index = history.size() - 1; index >= 0; index--) {
        Change change = history.get(index);
        if (change.version() <= after) {
          break;
        }
        if (change.key().table().equals(query.get("table"))) {
          found.add(0, node(change.key(), change.value(), change.version(), change.deleted()));
        }
      }
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (!found.isEmpty() || left <= 0) {
        return new Http.Reply(200, answer("rows", found, "has_more", false));
      }
      wait(left);
    }
  }

  private Map<String, Object> answer(Object... more) {
    Map<String, Object> answer = Json.map(more);
    answer.put("schema_version", version);
    answer.put("current_time_ms", System.nanoTime() / 1_000_000);
    return answer;
  }

  private static Key key(Map<String, Object> node) {
    return new Key(
        Json.string(node, "table"), Json.string(node, "part"), Json.string(node, "key"));
  }

  private static Map<String, Object> node(Key key, String value, long version, boolean deleted) {
    Map<String, Object> node =
        Json.map(
            "table", key.table(),
            "part", key.part(),
            "key", key.key(),
            "value", value,
            "schema_version", version);
    if (deleted) {
      node.put("deleted", true);
    }
    return node;
  }
}
