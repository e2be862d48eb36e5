package org.lovagerack.notes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoublePredicate;
import java.util.function.Function;

/**
 * The fields of one JSON object. Every getter adds a problem and returns a placeholder if the field
 * is missing or its value is not allowed; {@link #rejectUnknownFields} adds one for each field that
 * no getter requested.
 */
final class JsonFields {

  private static final int MAX_NAME_LENGTH = 128;

  private final JsonNode object;
  private final String path;
  private final Problems problems;
  private final Set<String> requested = new HashSet<>();

  JsonFields(JsonNode object, String path, Problems problems) {
    this.object = object;
    this.path = path;
    this.problems = problems;
    if (!object.isObject()) {
      problems.add(path, object, "is not an object");
    }
  }

  /** Returns a name: 1 to 128 visible characters. */
  String name(String field) {
    JsonNode node = required(field);
    return node == null ? "" : checkedName(node, path(field));
  }

  /** Returns the address of an upstream. */
  String address(String field) {
    JsonNode node = required(field);
    return node == null ? "" : checkedAddress(node, path(field));
  }

  /** Returns the path of a URL. */
  String urlPath(String field) {
    JsonNode node = required(field);
    if (node == null) {
      return "";
    }
    if (!node.isTextual() || !node.textValue().matches("/[!-~]{0,1023}")) {
      problems.add(path(field), node, "is not an HTTP path of at most 1024 characters");
    }
    return node.asText();
  }

  /** Returns an integer between two bounds, both included. */
  long integer(String field, long min, long max) {
    JsonNode node = required(field);
    return node == null ? min : checkedInteger(node, path(field), min, max);
  }

  /** Returns an integer between two bounds, or a default if the field is missing. */
  long integer(String field, long min, long max, long defaultValue) {
    return has(field) ? integer(field, min, max) : defaultValue;
  }

  /** Returns a number from 0 to 1, both included. */
  double fraction(String field) {
    return number(field, value -> value >= 0 && value <= 1, "is not a number from 0 to 1");
  }

  /** Returns a number from 0 to 1, or a default if the field is missing. */
  double fraction(String field, double defaultValue) {
    return has(field) ? fraction(field) : defaultValue;
  }

  /** Returns a number between 0 and 1, both excluded. */
  double fractionExclusive(String field) {
    return number(
        field, value -> value > 0 && value < 1, "is not a number greater than 0 and less than 1");
  }

  /** Returns distinct integers between two bounds; none if the field is missing. */
  Set<Integer> integers(String field, int min, int max) {
    Set<Integer> values = new HashSet<>();
    forEach(
        field,
        (node, elementPath) -> {
          if (!values.add((int) checkedInteger(node, elementPath, min, max))) {
            problems.add(elementPath, node, "is listed twice");
          }
        });
    return values;
  }

  /** Returns names; none if the field is missing. */
  List<String> names(String field) {
    List<String> values = new ArrayList<>();
    forEach(field, (node, elementPath) -> values.add(checkedName(node, elementPath)));
    return values;
  }

  /** Returns addresses of upstreams; none if the field is missing. */
  List<String> addresses(String field) {
    List<String> values = new ArrayList<>();
    forEach(field, (node, elementPath) -> values.add(checkedAddress(node, elementPath)));
    return values;
  }

  /** Returns objects; none if the field is missing. */
  <T> List<T> objects(String field, Function<JsonFields, T> reader) {
    List<T> values = new ArrayList<>();
    forEach(
        field,
        (node, elementPath) -> {
          JsonFields fields = new JsonFields(node, elementPath, problems);
          values.add(reader.apply(fields));
          fields.rejectUnknownFields();
        });
    return values;
  }

  /** Returns an object, or a default if the field is missing. */
  <T> T object(String field, Function<JsonFields, T> reader, T defaultValue) {
    if (!has(field)) {
      return defaultValue;
    }
    JsonFields fields = new JsonFields(object.get(field), path(field), problems);
    T value = reader.apply(fields);
    fields.rejectUnknownFields();
    return value;
  }

  /** Adds a problem for each field that no getter requested. */
  void rejectUnknownFields() {
    object
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!requested.contains(field)) {
                problems.add(path(field), object.get(field), "is an unknown field");
              }
            });
  }

  private boolean has(String field) {
    requested.add(field);
    return object.has(field);
  }

  /** Returns null, after adding a problem, if the field is missing. */
  private JsonNode required(String field) {
    if (!has(field)) {
      // A value that is not an object is reported once, without its missing fields.
      if (object.isObject()) {
        problems.add(path(field), "is missing");
      }
      return null;
    }
    return object.get(field);
  }

  private void forEach(String field, BiConsumer<JsonNode, String> element) {
    if (!has(field)) {
      return;
    }
    JsonNode array = object.get(field);
    if (!array.isArray()) {
      problems.add(path(field), array, "is not an array");
      return;
    }
    for (int i = 0; i < array.size(); i++) {
      element.accept(array.get(i), path(field) + "[" + i + "]");
    }
  }

  private double number(String field, DoublePredicate allowed, String reason) {
    JsonNode node = required(field);
    if (node == null) {
      return 0;
    }
    if (!node.isNumber() || !allowed.test(node.doubleValue())) {
      problems.add(path(field), node, reason);
    }
    return node.doubleValue();
  }

  private long checkedInteger(JsonNode node, String valuePath, long min, long max) {
    boolean allowed =
        node.isIntegralNumber()
            && node.canConvertToLong()
            && node.longValue() >= min
            && node.longValue() <= max;
    if (!allowed) {
      problems.add(valuePath, node, "is not an integer from " + min + " to " + max);
      return min;
    }
    return node.longValue();
  }

  private String checkedName(JsonNode node, String valuePath) {
    if (!node.isTextual() || node.textValue().isEmpty()) {
      problems.add(valuePath, node, "is not a name");
    } else if (node.textValue().length() > MAX_NAME_LENGTH) {
      problems.add(valuePath, node, "has more than " + MAX_NAME_LENGTH + " characters");
    } else if (!node.textValue().codePoints().allMatch(JsonFields::visible)) {
      problems.add(valuePath, node, "has white space or control characters");
    }
    return node.asText();
  }

  private static boolean visible(int codePoint) {
    return !Character.isISOControl(codePoint)
        && !Character.isWhitespace(codePoint)
        && !Character.isSpaceChar(codePoint);
  }

  private String checkedAddress(JsonNode node, String valuePath) {
    if (!node.isTextual() || !UpstreamAddressFormat.matches(node.textValue())) {
      problems.add(valuePath, node, "is not " + UpstreamAddressFormat.DESCRIPTION);
    }
    return node.asText();
  }

  private String path(String field) {
    return path + "." + field;
  }
}
