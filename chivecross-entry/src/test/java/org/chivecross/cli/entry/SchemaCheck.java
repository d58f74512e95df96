package org.chivecross.cli.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checks that JSON values match the schemas of an OpenAPI document: types and exact fields. */
final class SchemaCheck {

  private final JsonNode document;
  private final List<String> problems = new ArrayList<>();

  SchemaCheck(JsonNode document) {
    this.document = document;
  }

  List<String> problems() {
    return problems;
  }

  void check(JsonNode schema, JsonNode value, String path) {
    JsonNode resolved = resolve(schema);
    if (value.isNull() && resolved.path("nullable").asBoolean()) {
      return;
    }
    String type = resolved.path("type").asText();
    if (!isOfType(type, value)) {
      problems.add(path + " is not of type " + type + ": " + value);
      return;
    }
    if (resolved.has("enum") && !contains(resolved.get("enum"), value)) {
      problems.add(path + " is not one of " + resolved.get("enum") + ": " + value);
    }
    if (type.equals("array")) {
      for (JsonNode item : value) {
        check(resolved.get("items"), item, path + "[]");
      }
    }
    if (type.equals("object")) {
      checkFields(resolved, value, path);
    }
  }

  JsonNode resolve(JsonNode node) {
    return node.has("$ref") ? document.at(node.get("$ref").asText().substring(1)) : node;
  }

  private void checkFields(JsonNode schema, JsonNode value, String path) {
    for (Map.Entry<String, JsonNode> field : value.properties()) {
      JsonNode property = schema.path("properties").path(field.getKey());
      JsonNode fieldSchema =
          property.isMissingNode() ? schema.path("additionalProperties") : property;
      if (fieldSchema.isMissingNode()) {
        problems.add(path + "." + field.getKey() + " is not documented");
      } else {
        check(fieldSchema, field.getValue(), path + "." + field.getKey());
      }
    }
    for (Map.Entry<String, JsonNode> field : schema.path("properties").properties()) {
      if (!value.has(field.getKey())) {
        problems.add(path + "." + field.getKey() + " is missing");
      }
    }
  }

  private static boolean isOfType(String type, JsonNode value) {
    return switch (type) {
      case "object" -> value.isObject();
      case "array" -> value.isArray();
      case "string" -> value.isTextual();
      case "integer" -> value.isIntegralNumber();
      case "number" -> value.isNumber();
      case "boolean" -> value.isBoolean();
      default -> false;
    };
  }

  private static boolean contains(JsonNode values, JsonNode value) {
    for (JsonNode allowed : values) {
      if (allowed.equals(value)) {
        return true;
      }
    }
    return false;
  }
}
