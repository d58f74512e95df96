package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Formats JSON objects as a text table. Stateless. */
final class TableText {

  private static final int MAX_CELL_CHARACTERS = 160;
  private static final String COLUMN_SEPARATOR = "  ";

  private TableText() {}

  /** Returns the cells of a JSON object by column; names of nested fields are joined by dots. */
  static Map<String, String> cells(JsonNode row) {
    Map<String, String> cells = new LinkedHashMap<>();
    collect("", row, cells);
    return cells;
  }

  /** Returns the table: one line of column names, then one line for each row. */
  static String draw(List<Map<String, String>> rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(row.keySet()));
    Map<String, Integer> widths = new LinkedHashMap<>();
    for (String column : columns) {
      int width = column.length();
      for (Map<String, String> row : rows) {
        width = Math.max(width, toCell(row.getOrDefault(column, "")).length());
      }
      widths.put(column, width);
    }
    StringBuilder text = new StringBuilder();
    appendLine(text, new ArrayList<>(columns), widths);
    for (Map<String, String> row : rows) {
      List<String> cells =
          columns.stream().map(name -> toCell(row.getOrDefault(name, ""))).toList();
      appendLine(text, cells, widths);
    }
    return text.toString();
  }

  private static void appendLine(
      StringBuilder text, List<String> cells, Map<String, Integer> widths) {
    StringBuilder line = new StringBuilder();
    int i = 0;
    for (int width : widths.values()) {
      String cell = cells.get(i);
      line.append(cell).append(" ".repeat(width - cell.length())).append(COLUMN_SEPARATOR);
      i++;
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }

  private static void collect(String name, JsonNode value, Map<String, String> cells) {
    if (value.isObject() && !value.isEmpty()) {
      for (Map.Entry<String, JsonNode> field : value.properties()) {
        collect(
            name.isEmpty() ? field.getKey() : name + "." + field.getKey(), field.getValue(), cells);
      }
      return;
    }
    cells.put(name, text(value));
  }

  private static String text(JsonNode value) {
    if (value.isArray()) {
      List<String> items = new ArrayList<>();
      value.forEach(item -> items.add(text(item)));
      return String.join("; ", items);
    }
    return value.isValueNode() ? value.asText() : value.toString();
  }

  private static String toCell(String cell) {
    String line = cell.replaceAll("\\p{Cntrl}", " ");
    return line.length() <= MAX_CELL_CHARACTERS
        ? line
        : line.substring(0, MAX_CELL_CHARACTERS - 3) + "...";
  }
}
