package org.chivecross.logic.fileset;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Paths of fields within a file, such as {@code targets[0].slots}. Stateless. */
final class FieldPath {

  private FieldPath() {}

  static String field(String parent, String name) {
    String shown = Quoting.shorten(name);
    return parent.isEmpty() ? shown : parent + "." + shown;
  }

  static String item(String parent, int index) {
    return parent + "[" + index + "]";
  }

  /** Returns the line of each node by its path. */
  static Map<String, Integer> lines(YamlNode root) {
    Map<String, Integer> lines = new HashMap<>();
    collect(root, "", lines);
    return lines;
  }

  private static void collect(YamlNode node, String path, Map<String, Integer> lines) {
    lines.put(path, node.line());
    if (node instanceof YamlNode.Mapping mapping) {
      mapping.fields().forEach((name, value) -> collect(value, field(path, name), lines));
    }
    if (node instanceof YamlNode.Sequence sequence) {
      List<YamlNode> items = sequence.items();
      for (int i = 0; i < items.size(); i++) {
        collect(items.get(i), item(path, i), lines);
      }
    }
  }
}
