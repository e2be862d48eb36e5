package org.lovagerack.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Fills in the defaults declared in a schema, so that they are defined in one place only. */
final class SchemaDefaults {

  private SchemaDefaults() {}

  static void fill(JsonNode schema, JsonNode value) {
    if (!(value instanceof ObjectNode object) || !schema.has("properties")) {
      return;
    }
    for (Map.Entry<String, JsonNode> property : schema.get("properties").properties()) {
      JsonNode propertySchema = property.getValue();
      if (!object.has(property.getKey()) && propertySchema.has("default")) {
        object.set(property.getKey(), propertySchema.get("default").deepCopy());
      }
      if (object.has(property.getKey())) {
        fill(propertySchema, object.get(property.getKey()));
      }
    }
  }
}
