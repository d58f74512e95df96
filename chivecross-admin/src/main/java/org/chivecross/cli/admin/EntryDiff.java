package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Finds fields whose values differ between entries. Stateless. */
final class EntryDiff {

  private static final String ABSENT = "(absent)";

  private EntryDiff() {}

  /**
   * Compares the rows of all entries.
   *
   * @param view name of the compared list, for the result
   * @param key field that identifies a row; "" if there is only one row
   * @param fields fields to compare; names of nested fields are joined by dots
   * @param rowsByEntry rows of each entry
   * @return a row for each field that differs, with the value at each entry
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
