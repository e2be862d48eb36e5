package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/** The platform's metadata store, with the limits of PROTOCOL.md. It is never disrupted. */
final class Store {

  static final ObjectMapper MAPPER = new ObjectMapper();

  /** "A call holds at most 100 entries and at most 1 MB." */
  private static final int MAX_ENTRIES = 100;

  private static final int MAX_CALL_BYTES = 1_048_576;

  /** From the settings: row_bytes and transaction_ms. */
  private static final int MAX_ROW_BYTES = 65_536;

  private static final int TRANSACTION_MILLIS = 5;
  private static final int READ_MILLIS = 2;
  private static final int MAX_PAGE_ROWS = 500;

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int order = table.compareTo(other.table);
      order = order != 0 ? order : part.compareTo(other.part);
      return order != 0 ? order : key.compareTo(other.key);
    }
  }

  private record Row(String value, long version, boolean deleted) {}

  private record Change(Key key, Row row) {}

  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<String, ReentrantLock> parts = new ConcurrentHashMap<>();
  private final Log log;
  private final MiniHttp.Server server = new MiniHttp.Server(this::handle);
  private long version;
  private String lastRefusal = "";
  private int refusals;

  Store(Log log) {
    this.log = log;
  }

  int listen() throws IOException {
    return server.listen();
  }

  /** Returns how many transactions broke a limit of the store. */
  synchronized int refusals() {
    return refusals;
  }

  /** Writes a row as the operator or a worker does. */
  synchronized void put(String table, String key, String text) {
    version++;
    apply(
        new Key(table, "", key),
        new Row(
            Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
            version,
            false));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    apply(new Key(table, "", key), new Row("", version, true));
    notifyAll();
  }

  /** Returns the text of a row of any part; empty if there is none. */
  synchronized String text(String table, String part, String key) {
    Row row = rows.get(new Key(table, part, key));
    return row == null
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private void apply(Key key, Row row) {
    if (row.deleted()) {
      rows.remove(key);
    } else {
      rows.put(key, row);
    }
    history.add(new Change(key, row));
  }

  private MiniHttp.Response handle(MiniHttp.Request request) throws Exception {
    return switch (request.path()) {
      case "/rows-tx" -> transaction(request.body());
      case "/rows-get" -> read(request.query());
      case "/rows-feed" -> feed(request.query());
      default -> new MiniHttp.Response(404, "{}");
    };
  }

  private MiniHttp.Response transaction(byte[] body) throws Exception {
    JsonNode call = MAPPER.readTree(body);
    String refusal = refusal(call, body.length);
    if (!refusal.isEmpty()) {
      synchronized (this) {
        refusals++;
        if (!refusal.equals(lastRefusal)) {
          lastRefusal = refusal;
          log.line("store", "refused a transaction (400): " + refusal);
        }
      }
      return new MiniHttp.Response(400, "{}");
    }
    String part = partOf(call);
    ReentrantLock lock = parts.computeIfAbsent(part, ignored -> new ReentrantLock(true));
    lock.lock();
    try {
      Thread.sleep(TRANSACTION_MILLIS);
      return commit(call);
    } finally {
      lock.unlock();
    }
  }

  /** Returns why a transaction is beyond a limit of the store; empty if it is not. */
  private static String refusal(JsonNode call, int bytes) {
    int entries =
        call.path("expected").size() + call.path("write").size() + call.path("remove").size();
    if (entries > MAX_ENTRIES) {
      return entries + " entries";
    }
    if (bytes > MAX_CALL_BYTES) {
      return bytes + " bytes in a call with " + entries + " entries";
    }
    for (JsonNode write : call.path("write")) {
      int size = Base64.getDecoder().decode(write.path("value").asText()).length;
      if (size > MAX_ROW_BYTES) {
        return "a row of " + size + " bytes";
      }
    }
    return "";
  }

  private static String partOf(JsonNode call) {
    for (String list : List.of("expected", "write", "remove")) {
      for (JsonNode entry : call.path(list)) {
        return entry.path("part").asText();
      }
    }
    return "";
  }

  private synchronized MiniHttp.Response commit(JsonNode call) throws IOException {
    boolean holds = true;
    ArrayNode current = MAPPER.createArrayNode();
    for (JsonNode expected : call.path("expected")) {
      Row row = rows.get(key(expected));
      holds &= (row == null ? 0 : row.version()) == expected.path("schema_version").asLong();
      if (row != null) {
        current.add(node(key(expected), row));
      }
    }
    if (!holds) {
      ObjectNode answer = MAPPER.createObjectNode();
      answer.set("rows", current);
      return answer(412, answer);
    }
    version++;
    for (JsonNode write : call.path("write")) {
      apply(key(write), new Row(write.path("value").asText(), version, false));
    }
    for (JsonNode removal : call.path("remove")) {
      apply(key(removal), new Row("", version, true));
    }
    notifyAll();
    return answer(200, MAPPER.createObjectNode());
  }

  private MiniHttp.Response read(Map<String, String> query) throws Exception {
    Thread.sleep(READ_MILLIS);
    synchronized (this) {
      String table = query.getOrDefault("table", "");
      String part = query.getOrDefault("part", "");
      String target = query.getOrDefault("target", "");
      int limit =
          Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_PAGE_ROWS)));
      ArrayNode found = MAPPER.createArrayNode();
      boolean more = false;
      for (Map.Entry<Key, Row> entry :
          rows.tailMap(new Key(table, part, query.getOrDefault("from", "")), true).entrySet()) {
        Key key = entry.getKey();
        if (!key.table().equals(table)
            || !key.part().equals(part)
            || (!target.isEmpty() && key.key().compareTo(target) >= 0)) {
          break;
        }
        if (found.size() == limit) {
          more = true;
          break;
        }
        found.add(node(key, entry.getValue()));
      }
      ObjectNode answer = MAPPER.createObjectNode().put("has_more", more);
      answer.set("rows", found);
      return answer(200, answer);
    }
  }

  private synchronized MiniHttp.Response feed(Map<String, String> query) throws Exception {
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (true) {
      ArrayNode changed = MAPPER.createArrayNode();
      for (int i = history.size() - 1; i >= 0 && history.get(i).row().version() > after; i--) {
        Change change = history.get(i);
        if (change.key().table().equals(table)) {
          changed.insert(0, node(change.key(), change.row()));
        }
      }
      long left = until - System.currentTimeMillis();
      if (!changed.isEmpty() || left <= 0) {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.set("rows", changed);
        return answer(200, answer);
      }
      wait(left);
    }
  }

  private MiniHttp.Response answer(int status, ObjectNode body) throws IOException {
    body.put("schema_version", version).put("current_time_ms", System.nanoTime() / 1_000_000);
    return new MiniHttp.Response(status, MAPPER.writeValueAsBytes(body));
  }

  private static Key key(JsonNode node) {
    return new Key(
        node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
  }

  private static ObjectNode node(Key key, Row row) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("table", key.table())
            .put("part", key.part())
            .put("key", key.key())
            .put("value", row.value())
            .put("schema_version", row.version());
    return row.deleted() ? node.put("deleted", true) : node;
  }
}
