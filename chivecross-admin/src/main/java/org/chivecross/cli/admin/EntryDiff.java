package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Finds where entries disagree about what they should all see alike. Stateless. */
final class EntryDiff {

  private static final String ABSENT = "(absent)";

  private EntryDiff() {}

  /**
   * Compares the rows of all entries.
   *
   * @param view name of the view, for the result
   * @param key field that identifies a row; "" when there is one row
   * @param fields fields to compare, with dots for nested ones
   * @param rowsByEntry rows of each entry
   * @return a row for each field on which entries disagree, with the value of each entry
   */
  static List<Map<String, String>> compare(
      String view, String key, List<String> fields, Map<String, List<JsonNode>> rowsByEntry) {
    Map<String, Map<String, Map<String, String>>> cellsByKey = new TreeMap<>();
    rowsByEntry.forEach(
        (entry, rows) -> {
          for (JsonNode row : rows) {
            Map<String, String> cells = TableText.cells(row);
            cellsByKey
                .computeIfAbsent(cells.getOrDefault(key, ""), name -> new LinkedHashMap<>())
                .put(entry, cells);
          }
        });
    List<Map<String, String>> differences = new ArrayList<>();
    for (Map.Entry<String, Map<String, Map<String, String>>> row : cellsByKey.entrySet()) {
      for (String field : fields) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String entry : rowsByEntry.keySet()) {
          Map<String, String> cells = row.getValue().getOrDefault(entry, Map.of());
          values.put(entry, cells.getOrDefault(field, ABSENT));
        }
        Set<String> distinct = new TreeSet<>(values.values());
        if (distinct.size() > 1) {
          Map<String, String> difference = new LinkedHashMap<>();
          difference.put("view", view);
          difference.put("row", row.getKey());
          difference.put("field", field);
          difference.putAll(values);
          differences.add(difference);
        }
      }
    }
    return differences;
  }
}
