package org.lovagerack.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Reads and validates the settings file; reports all problems together. */
public final class NodeSettingsLoader {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MAX_MILLIS = 86_400_000;
  private static final int MAX_WORKERS = 100_000;
  private static final int MAX_PORT = 65_535;

  /**
   * Loads a file.
   *
   * @throws LovagerackException with {@code SETTINGS_INVALID} if the file cannot be read or a value
   *     is missing, unknown or out of range
   */
  public NodeSettings load(Path file) throws LovagerackException {
    JsonNode root;
    try {
      root = MAPPER.readTree(Files.readAllBytes(file));
    } catch (IOException e) {
      throw invalid(file + ": " + e.getMessage());
    }
    if (root == null || !root.isObject()) {
      throw invalid(file + ": not a JSON object");
    }
    Reader reader = new Reader(root);
    NodeSettings settings =
        new NodeSettings(
            reader.text("name"),
            reader.text("failureDomain"),
            reader.address("clientAddress"),
            reader.address("readinessAddress"),
            reader.address("peerAddress"),
            reader.addressOr("advertisedPeerAddress", "peerAddress"),
            reader.address("metricsAddress"),
            reader.address("storeAddress"),
            reader.fraction("processorShare", 1),
            (int) reader.number("workersPerShard", 1, MAX_WORKERS),
            reader.flag("redirectJobs"),
            reader.millis("longestWorkerLeaseMillis"),
            reader.millis("statusRetentionMillis"),
            reader.flag("lookAheadPlacement"),
            reader.millis("stopWithinMillis"),
            limits(reader));
    reader.throwIfInvalid(file);
    return settings;
  }

  private static LimitSettings limits(Reader reader) {
    LimitSettings defaults =
        LimitSettings.defaults(
            Runtime.getRuntime().maxMemory(),
            reader.numberOr("memoryMegabytes", Integer.MAX_VALUE),
            reader.numberOr("fileDescriptors", Integer.MAX_VALUE));
    return new LimitSettings(
        reader.numberOr("clientMemoryBytes", defaults.clientMemoryBytes()),
        reader.numberOr("peerMemoryBytes", defaults.peerMemoryBytes()),
        (int) reader.numberOr("clientConnections", defaults.clientConnections()),
        (int) reader.numberOr("peerConnections", defaults.peerConnections()),
        (int) reader.numberOr("requestsPerConnection", defaults.requestsPerConnection()),
        (int) reader.numberOr("headerFields", defaults.headerFields()),
        reader.millisOr("headerTimeoutMillis", defaults.headerTimeout()),
        reader.millisOr("bodyTimeoutMillis", defaults.bodyTimeout()),
        reader.millisOr("writeTimeoutMillis", defaults.writeTimeout()),
        reader.millisOr("idleTimeoutMillis", defaults.idleTimeout()));
  }

  private static LovagerackException invalid(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.SETTINGS_INVALID, detail));
  }

  private static final class Reader {
    private final JsonNode root;
    private final Set<String> unknownFields = new TreeSet<>();
    private final List<String> problems = new ArrayList<>();

    Reader(JsonNode root) {
      this.root = root;
      root.fieldNames().forEachRemaining(unknownFields::add);
    }

    String text(String field) {
      unknownFields.remove(field);
      JsonNode value = root.path(field);
      if (!value.isTextual() || value.asText().isEmpty()) {
        problems.add(field + " is not a non-empty string: " + value);
        return "";
      }
      return value.asText();
    }

    String address(String field) {
      String value = text(field);
      if (!value.isEmpty() && !isAddress(value)) {
        problems.add(field + " is not an IP address and port: " + value);
      }
      return value;
    }

    /** Returns the address in {@code field}, or in {@code otherField} if that one is absent. */
    String addressOr(String field, String otherField) {
      return address(root.has(field) ? field : otherField);
    }

    long number(String field, long min, long max) {
      unknownFields.remove(field);
      JsonNode value = root.path(field);
      if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
        problems.add(field + " is not a whole number from " + min + " to " + max + ": " + value);
        return min;
      }
      return value.asLong();
    }

    double fraction(String field, double max) {
      unknownFields.remove(field);
      JsonNode value = root.path(field);
      if (!value.isNumber() || value.asDouble() <= 0 || value.asDouble() > max) {
        problems.add(field + " is not a number above 0 and up to " + max + ": " + value);
        return max;
      }
      return value.asDouble();
    }

    /** Returns a Boolean setting; false if it is absent. */
    boolean flag(String field) {
      unknownFields.remove(field);
      JsonNode value = root.path(field);
      if (!value.isMissingNode() && !value.isBoolean()) {
        problems.add(field + " is not true or false: " + value);
      }
      return value.asBoolean(false);
    }

    /** Returns a positive number, or a default if the field is absent. */
    long numberOr(String field, long absent) {
      return root.has(field) ? number(field, 1, Integer.MAX_VALUE) : absent;
    }

    Duration millisOr(String field, Duration absent) {
      return root.has(field) ? millis(field) : absent;
    }

    Duration millis(String field) {
      return Duration.ofMillis(number(field, 1, MAX_MILLIS));
    }

    void throwIfInvalid(Path file) throws LovagerackException {
      unknownFields.forEach(field -> problems.add(field + " is an unknown setting"));
      if (!problems.isEmpty()) {
        throw invalid(file + ": " + String.join("; ", problems));
      }
    }

    private static boolean isAddress(String value) {
      if (!value.matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}")) {
        return false;
      }
      return Integer.parseInt(value.substring(value.lastIndexOf(':') + 1)) <= MAX_PORT;
    }
  }
}
