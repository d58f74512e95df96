package org.chivecross.logic.fileset;

import java.util.List;
import java.util.Map;

/** Node of a YAML document with the line at which it starts. Immutable. */
sealed interface YamlNode {

  /** Returns the line of the node, from 1. */
  int line();

  /** Returns a description of the node for messages. */
  String describe();

  /** Type of a scalar, as resolved by YAML. */
  enum ScalarKind {
    TEXT,
    NUMBER,
    BOOLEAN,
    NULL
  }

  /**
   * A scalar.
   *
   * @param line line, from 1
   * @param kind type of the scalar
   * @param text text as written
   */
  record Scalar(int line, ScalarKind kind, String text) implements YamlNode {
    @Override
    public String describe() {
      if (text.isEmpty()) {
        return "nothing";
      }
      return switch (kind) {
        case TEXT -> '"' + Quoting.shorten(text) + '"';
        case NUMBER -> "number " + Quoting.shorten(text);
        case BOOLEAN -> "boolean " + text;
        case NULL -> "nothing";
      };
    }
  }

  /**
   * A list.
   *
   * @param line line, from 1
   * @param items items in order
   */
  record Sequence(int line, List<YamlNode> items) implements YamlNode {
    @Override
    public String describe() {
      return "a list of " + items.size();
    }
  }

  /**
   * A mapping.
   *
   * @param line line, from 1
   * @param fields values by name, in order
   */
  record Mapping(int line, Map<String, YamlNode> fields) implements YamlNode {
    @Override
    public String describe() {
      return "a mapping of " + fields.size();
    }
  }
}
