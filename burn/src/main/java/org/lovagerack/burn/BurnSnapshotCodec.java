package org.lovagerack.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Encodes and decodes snapshots as JSON. */
public final class BurnSnapshotCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final String SERVICES = "services";
  private static final String OBJECTIVE = "objective";
  private static final String WINDOWS = "windows";
  private static final String RESPONSE_TIMES = "responseTimes";

  private BurnSnapshotCodec() {}

  /** Writes a snapshot; {@link #decode} returns an equal one. */
  public static String encode(BurnSnapshot snapshot) {
    return toJson(snapshot).toString();
  }

  /** Returns a snapshot as a JSON object. */
  public static ObjectNode toJson(BurnSnapshot snapshot) {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode services = root.putObject(SERVICES);
    snapshot.services().forEach((name, burn) -> writeService(services.putObject(name), burn));
    return root;
  }

  /**
   * Reads a snapshot.
   *
   * @throws LovagerackException with {@code MALFORMED_REQUEST} if it is not a valid snapshot
   */
  public static BurnSnapshot decode(String json) throws LovagerackException {
    try {
      return fromJson(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      throw malformed("burn snapshot is not JSON: " + e.getOriginalMessage(), e);
    }
  }

  /**
   * Reads a snapshot from a parsed document.
   *
   * @throws LovagerackException with {@code MALFORMED_REQUEST} if it is not a valid snapshot
   */
  public static BurnSnapshot fromJson(JsonNode root) throws LovagerackException {
    try {
      Map<String, ServiceBurn> services = new HashMap<>();
      for (Map.Entry<String, JsonNode> service : object(root, SERVICES).properties()) {
        services.put(service.getKey(), readService(service.getKey(), service.getValue()));
      }
      return new BurnSnapshot(services);
    } catch (IllegalArgumentException e) {
      throw malformed("burn snapshot is malformed: " + e.getMessage(), e);
    }
  }

  private static void writeService(ObjectNode target, ServiceBurn burn) {
    target.put(OBJECTIVE, burn.objective());
    ObjectNode windows = target.putObject(WINDOWS);
    burn.windows()
        .forEach((window, counts) -> writeCounts(windows.putObject(window.wireName()), counts));
    target.put(RESPONSE_TIMES, burn.responseTimes().encode());
  }

  static void writeCounts(ObjectNode target, BurnCounts counts) {
    counts.byOutcome().forEach((outcome, count) -> target.put(outcome.wireName(), count));
  }

  private static ServiceBurn readService(String name, JsonNode node) {
    try {
      JsonNode windowNodes = object(node, WINDOWS);
      EnumMap<BurnWindow, BurnCounts> windows = new EnumMap<>(BurnWindow.class);
      for (BurnWindow window : BurnWindow.values()) {
        windows.put(window, readCounts(object(windowNodes, window.wireName())));
      }
      // A missing objective is read as 0, which is rejected as out of range.
      return new ServiceBurn(
          node.path(OBJECTIVE).asDouble(0),
          windows,
          ResponseTimes.decode(node.path(RESPONSE_TIMES).asText()));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("service " + name + ": " + e.getMessage(), e);
    }
  }

  private static BurnCounts readCounts(JsonNode node) {
    EnumMap<BurnOutcome, Long> counts = new EnumMap<>(BurnOutcome.class);
    for (BurnOutcome outcome : BurnOutcome.values()) {
      JsonNode count = node.path(outcome.wireName());
      if (!count.isIntegralNumber()
          || !count.canConvertToLong()
          || count.longValue() > BurnSnapshot.MAX_COUNT) {
        throw new IllegalArgumentException(
            outcome.wireName() + " is not a number of jobs: " + count);
      }
      counts.put(outcome, count.longValue());
    }
    return new BurnCounts(counts);
  }

  private static JsonNode object(JsonNode parent, String field) {
    JsonNode node = parent.path(field);
    if (!node.isObject()) {
      throw new IllegalArgumentException(field + " is not an object: " + node);
    }
    return node;
  }

  private static LovagerackException malformed(String detail, Exception cause) {
    return new LovagerackException(Failure.notRun(ErrorKind.MALFORMED_REQUEST, detail), cause);
  }
}
