package org.lovagerack.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** Reads settings. All problems are reported together, each with its path and the invalid value. */
public final class SettingsLoader {

  private static final String SCHEMA = "schema.json";
  private static final int MAX_PORT = 65_535;

  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private final JsonNode schemaNode;
  private final Schema schema;

  public SettingsLoader() {
    schemaNode = readSchema();
    schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(schemaNode);
  }

  private JsonNode readSchema() {
    try (InputStream stream = SettingsLoader.class.getResourceAsStream(SCHEMA)) {
      return mapper.readTree(stream);
    } catch (IOException e) {
      throw new IllegalStateException("the settings schema in the class path cannot be read", e);
    }
  }

  /**
   * Reads a settings file.
   *
   * @throws LovagerackException of kind {@code SETTINGS_INVALID} if the file cannot be read or is
   *     not valid
   */
  public Settings load(Path file) throws LovagerackException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw invalid("cannot read the settings file " + file + ": " + e.getMessage());
    }
  }

  /**
   * Parses settings.
   *
   * @throws LovagerackException of kind {@code SETTINGS_INVALID} if the text is not valid
   */
  public Settings parse(String text) throws LovagerackException {
    JsonNode node;
    try {
      node = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      throw invalid(
          "not valid JSON at line %d, column %d: %s"
              .formatted(
                  e.getLocation().getLineNr(),
                  e.getLocation().getColumnNr(),
                  e.getOriginalMessage()));
    }
    List<String> problems = new ArrayList<>();
    for (Error error : schema.validate(node)) {
      problems.add(describe(error));
    }
    if (problems.isEmpty()) {
      SchemaDefaults.fill(schemaNode, node);
      problems.addAll(portProblems(node));
    }
    if (!problems.isEmpty()) {
      throw invalid(String.join("; ", problems));
    }
    return map(node);
  }

  private static String describe(Error error) {
    String path = error.getInstanceLocation().toString();
    JsonNode value = error.getInstanceNode();
    String shown =
        value == null || value.isContainerNode() || path.contains("key")
            ? ""
            : " (value " + value + ")";
    return (path.isEmpty() ? "/" : path) + ": " + error.getMessage() + shown;
  }

  /** Checks the range of ports, because the schema pattern allows any five digits. */
  private static List<String> portProblems(JsonNode node) {
    List<String> problems = new ArrayList<>();
    for (String pointer :
        List.of(
            "/callers/address",
            "/peers/address",
            "/peers/known",
            "/peers/remote",
            "/platform/addresses")) {
      JsonNode value = node.at(pointer);
      for (JsonNode address : value.isArray() ? value : List.of(value)) {
        if (Address.parse(address.asText()).port() > MAX_PORT) {
          problems.add(pointer + ": port is over " + MAX_PORT + " (value " + address + ")");
        }
      }
    }
    return problems;
  }

  private static Settings map(JsonNode node) {
    JsonNode callers = node.get("callers");
    JsonNode peers = node.get("peers");
    JsonNode platform = node.get("platform");
    JsonNode drain = node.get("drain");
    return new Settings(
        node.get("region").asText(),
        node.get("failureDomain").asText(),
        new Settings.Callers(
            Address.parse(callers.get("address").asText()),
            callers.get("maxBodyBytes").asInt(),
            callers.get("maxHeaderBytes").asInt(),
            callers.get("maxConnections").asInt(),
            Duration.ofSeconds(callers.get("maxWaitSeconds").asInt())),
        new Settings.Peers(
            Address.parse(peers.get("address").asText()),
            strings(peers.get("known")),
            strings(peers.get("remote")),
            peers.get("maxFrameBytes").asInt()),
        new Settings.Platform(
            List.copyOf(strings(platform.get("addresses"))),
            platform.get("key").asText(),
            millis(platform, "timeoutMillis")),
        new Settings.Keys(node.at("/keys/cluster").asText(), node.at("/keys/operator").asText()),
        new Settings.Drain(
            millis(drain, "readinessMillis"),
            millis(drain, "lingerMillis"),
            millis(drain, "limitMillis")),
        node.get("logFormat").asText().equals("json")
            ? Settings.LogFormat.JSON
            : Settings.LogFormat.TEXT);
  }

  private static Duration millis(JsonNode node, String name) {
    return Duration.ofMillis(node.get(name).asLong());
  }

  private static Set<String> strings(JsonNode array) {
    Set<String> strings = new LinkedHashSet<>();
    array.forEach(element -> strings.add(element.asText()));
    return strings;
  }

  private static LovagerackException invalid(String detail) {
    return new LovagerackException(Failure.notRun(ErrorKind.SETTINGS_INVALID, detail));
  }
}
