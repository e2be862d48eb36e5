package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json reader = new Json(text);
    Object value = reader.value();
    reader.space();
    if (reader.position != text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Returns an object with the given keys and values. */
  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int index = 0; index < keysAndValues.length; index += 2) {
      map.put((String) keysAndValues[index], keysAndValues[index + 1]);
    }
    return map;
  }

  static long number(Map<String, Object> object, String key) {
    Object value = object.get(key);
    return value instanceof Number number ? number.longValue() : 0;
  }

  static String string(Map<String, Object> object, String key) {
    return object.get(key) instanceof String text ? text : "";
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Map<String, Object> object, String key) {
    Object value = object.get(key);
    return value == null ? List.of() : (List<Map<String, Object>>) value;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    switch (value) {
      case null -> out.append("null");
      case String string -> quote(string, out);
      case Map<?, ?> map -> {
        out.append('{');
        boolean first = true;
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          if (!first) {
            out.append(',');
          }
          first = false;
          quote((String) entry.getKey(), out);
          out.append(':');
          write(entry.getValue(), out);
        }
        out.append('}');
      }
      case Iterable<?> list -> {
        out.append('[');
        boolean first = true;
        for (Object element : list) {
          if (!first) {
            out.append(',');
          }
          first = false;
          write(element, out);
        }
        out.append(']');
      }
      default -> out.append(value);
    }
  }

  private static void quote(String string, StringBuilder out) {
    out.append('"');
    for (char c : string.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }

  private void space() {
    while (position < text.length() && text.charAt(position) <= ' ') {
      position++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(position);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      position++;
      space();
      while (text.charAt(position) != '}') {
        space();
        String key = string();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (text.charAt(position) == ',') {
          position++;
        }
        space();
      }
      position++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      position++;
      space();
      while (text.charAt(position) != ']') {
        list.add(value());
        space();
        if (text.charAt(position) == ',') {
          position++;
        }
        space();
      }
      position++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = position;
    while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
      position++;
    }
    String word = text.substring(start, position);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default ->
          word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    };
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(position) != '"') {
      char c = text.charAt(position++);
      if (c == '\\') {
        char escape = text.charAt(position++);
        switch (escape) {
          case 'n' -> out.append('\n');
          case 'r' -> out.append('\r');
          case 't' -> out.append('\t');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
            position += 4;
          }
          default -> out.append(escape);
        }
      } else {
        out.append(c);
      }
    }
    position++;
    return out.toString();
  }

  private void expect(char c) {
    if (text.charAt(position) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + position);
    }
    position++;
  }
}
