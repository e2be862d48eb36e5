package org.lovagerack.daemon.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagerack.foundation.error.LovagerackException;

/** Reads the fields of a JSON object and collects all problems, to report them together. */
final class FieldReader {

  private final JsonNode node;
  private final String path;
  private final List<String> problems;
  private final Set<String> read = new HashSet<>();

  FieldReader(JsonNode node, String path) {
    this(node, path, new ArrayList<>());
  }

  private FieldReader(JsonNode node, String path, List<String> problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /** Returns a reader for a nested object; its problems are reported by this reader. */
  FieldReader child(JsonNode child, String childPath) {
    if (!child.isObject()) {
      problems.add(childPath + ": must be an object");
    }
    return new FieldReader(child, childPath, problems);
  }

  String text(String name) {
    return text(name, null);
  }

  String text(String name, String defaultValue) {
    JsonNode value = get(name, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? "" : defaultValue;
    }
    if (!value.isTextual()) {
      wrongType(name, "a string", value);
    }
    return value.asText();
  }

  long number(String name) {
    return number(name, null);
  }

  long number(String name, long defaultValue) {
    return number(name, Long.valueOf(defaultValue));
  }

  private long number(String name, Long defaultValue) {
    JsonNode value = get(name, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? 0 : defaultValue;
    }
    if (!value.isIntegralNumber() || !value.canConvertToInt()) {
      wrongType(name, "a whole number of at most 31 bits", value);
    }
    return value.asLong();
  }

  boolean flag(String name, boolean defaultValue) {
    JsonNode value = get(name, false);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isBoolean()) {
      wrongType(name, "true or false", value);
    }
    return value.asBoolean();
  }

  List<JsonNode> array(String name) {
    JsonNode value = get(name, true);
    if (!(value instanceof ArrayNode array)) {
      if (value != null) {
        wrongType(name, "an array", value);
      }
      return List.of();
    }
    List<JsonNode> elements = new ArrayList<>();
    array.forEach(elements::add);
    return elements;
  }

  /** Records a problem for each field that was not read. */
  void checkUnknownFields() {
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      if (!read.contains(field.getKey())) {
        problems.add(path + "/" + field.getKey() + ": unknown field");
      }
    }
  }

  /**
   * Checks for unknown fields and for problems that were recorded before.
   *
   * @throws LovagerackException {@code MALFORMED_REQUEST}, naming every problem, if there is any
   */
  void requireValid() throws LovagerackException {
    checkUnknownFields();
    if (!problems.isEmpty()) {
      throw JobJson.malformed(String.join("; ", problems));
    }
  }

  private JsonNode get(String name, boolean required) {
    read.add(name);
    JsonNode value = node.get(name);
    if (value == null && required) {
      problems.add(path + "/" + name + ": missing");
    }
    return value;
  }

  private void wrongType(String name, String expected, JsonNode value) {
    problems.add("%s/%s: must be %s (value %s)".formatted(path, name, expected, shorten(value)));
  }

  private static String shorten(JsonNode value) {
    String text = value.toString();
    return text.length() <= 60 ? text : text.substring(0, 60) + "...";
  }
}
