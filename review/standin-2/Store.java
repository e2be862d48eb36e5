import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store in form `table`, as PROTOCOL.md describes it: conditional
 * transactions, reads and feeds, with the limits of a call and of a row.
 */
final class Store {

  private static final int MAX_ENTRIES = 100;
  private static final int MAX_CALL_BYTES = 1 << 20;
  private static final int ROW_BYTES = 65_536;
  private static final int MAX_ROWS = 500;
  private static final long READ_MILLIS = 4;
  private static final long TRANSACTION_MILLIS = 5;

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byTable = table.compareTo(other.table);
      int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
      return byPart != 0 ? byPart : key.compareTo(other.key);
    }
  }

  private record Row(Key key, String value, long version, boolean deleted) {}

  private final Trial trial;
  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Map<String, Object> parts = new HashMap<>();
  private long version;
  private Node lastWriter;
  private final Map<String, Integer> refusals = new TreeMap<>();

  Store(Trial trial) {
    this.trial = trial;
  }

  /** Opens an address of the store for one node, so that its calls can be told from others. */
  int listen(Node caller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(Trial.LOCALHOST, 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(
        "/",
        exchange -> {
          try (exchange) {
            handle(caller, exchange);
          }
        });
    server.start();
    return server.getAddress().getPort();
  }

  /** Writes a row with an empty part, as the operator or an executor does. */
  synchronized void put(String table, String key, String text) {
    version++;
    apply(
        new Row(
            new Key(table, "", key),
            Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
            version,
            false));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    apply(new Row(new Key(table, "", key), "", version, true));
    notifyAll();
  }

  /** Returns the process that last wrote under a condition; null before the first one. */
  synchronized Node lastWriter() {
    return lastWriter;
  }

  /** Returns how many transactions were refused as larger than the limits, by reason. */
  synchronized Map<String, Integer> refusals() {
    return new TreeMap<>(refusals);
  }

  private void apply(Row row) {
    if (row.deleted()) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    history.add(row);
  }

  private void handle(Node caller, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    switch (exchange.getRequestURI().getPath()) {
      case "/rows-tx" -> transaction(caller, exchange, body);
      case "/rows-get" -> read(exchange);
      case "/rows-feed" -> feed(exchange);
      default -> respond(exchange, 404, Trial.MAPPER.createObjectNode());
    }
  }

  private void transaction(Node caller, HttpExchange exchange, byte[] body) throws IOException {
    JsonNode call = Trial.parse(body);
    String reason = tooLarge(call, body.length);
    if (!reason.isEmpty()) {
      synchronized (this) {
        if (refusals.merge(reason, 1, Integer::sum) == 1) {
          trial.note("the store refuses a transaction of " + caller.name + ": " + reason);
        }
      }
      respond(exchange, 400, Trial.MAPPER.createObjectNode());
      return;
    }
    String part = "";
    for (String field : List.of("expected", "write", "remove")) {
      for (JsonNode entry : call.path(field)) {
        part = entry.path("part").asText();
      }
    }
    Object partLock;
    synchronized (this) {
      partLock = parts.computeIfAbsent(part, ignored -> new Object());
    }
    int status;
    ObjectNode answer = Trial.MAPPER.createObjectNode();
    synchronized (partLock) {
      Trial.sleep(TRANSACTION_MILLIS);
      synchronized (this) {
        status = applyTransaction(caller, call, answer);
      }
    }
    respond(exchange, status, answer);
  }

  private static String tooLarge(JsonNode call, int bytes) {
    int entries =
        call.path("expected").size() + call.path("write").size() + call.path("remove").size();
    if (entries > MAX_ENTRIES) {
      return "more than 100 entries";
    }
    if (bytes > MAX_CALL_BYTES) {
      return "more than 1 MB";
    }
    for (JsonNode write : call.path("write")) {
      if (Base64.getDecoder().decode(write.path("value").asText()).length > ROW_BYTES) {
        return "a row of more than row_bytes";
      }
    }
    return "";
  }

  private int applyTransaction(Node caller, JsonNode call, ObjectNode answer) {
    boolean holds = true;
    ArrayNode current = Trial.MAPPER.createArrayNode();
    for (JsonNode expected : call.path("expected")) {
      Row row = rows.get(key(expected));
      if ((row == null ? 0 : row.version()) != expected.path("schema_version").asLong()) {
        holds = false;
      }
      if (row != null) {
        current.add(node(row));
      }
    }
    if (!holds) {
      answer.set("rows", current);
      answer.put("schema_version", version);
      return 412;
    }
    version++;
    for (JsonNode write : call.path("write")) {
      apply(new Row(key(write), write.path("value").asText(), version, false));
    }
    for (JsonNode removal : call.path("remove")) {
      apply(new Row(key(removal), "", version, true));
    }
    if (!call.path("expected").isEmpty()) {
      lastWriter = caller;
    }
    notifyAll();
    answer.put("schema_version", version);
    return 200;
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String table = query.get("table");
    String part = query.getOrDefault("part", "");
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
    Trial.sleep(READ_MILLIS);
    ObjectNode answer = Trial.MAPPER.createObjectNode();
    synchronized (this) {
      ArrayNode found = answer.putArray("rows");
      boolean more = false;
      for (Row row : rows.tailMap(new Key(table, part, query.getOrDefault("from", ""))).values()) {
        if (!row.key().table().equals(table) || !row.key().part().equals(part)) {
          break;
        }
        if (query.containsKey("target") && row.key().key().compareTo(query.get("target")) >= 0) {
          break;
        }
        if (found.size() == limit) {
          more = true;
          break;
        }
        found.add(node(row));
      }
      answer.put("has_more", more).put("schema_version", version);
    }
    respond(exchange, 200, answer);
  }

  private void feed(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    Trial.sleep(READ_MILLIS);
    ObjectNode answer = Trial.MAPPER.createObjectNode();
    ArrayNode found = answer.putArray("rows");
    synchronized (this) {
      while (true) {
        for (Row row : history) {
          if (row.key().table().equals(query.get("table")) && row.version() > after) {
            found.add(node(row));
          }
        }
        long remaining = (end - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || remaining <= 0) {
          break;
        }
        try {
          wait(remaining);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      answer.put("schema_version", version);
    }
    respond(exchange, 200, answer);
  }

  private void respond(HttpExchange exchange, int status, ObjectNode answer) throws IOException {
    answer.put("current_time_ms", System.nanoTime() / 1_000_000);
    byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static Key key(JsonNode node) {
    return new Key(
        node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
  }

  private static ObjectNode node(Row row) {
    ObjectNode node =
        Trial.MAPPER
            .createObjectNode()
            .put("table", row.key().table())
            .put("part", row.key().part())
            .put("key", row.key().key())
            .put("value", row.value())
            .put("schema_version", row.version());
    return row.deleted() ? node.put("deleted", true) : node;
  }
}
