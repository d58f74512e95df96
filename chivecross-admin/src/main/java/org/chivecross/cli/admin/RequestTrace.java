package org.chivecross.cli.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Collects the log lines of one request from the log files of several entries, ordered by time.
 * Each line of the request comes with the latest earlier lines of the same entry about its state:
 * its start, rules in force, usable targets and reads of the store. Stateless.
 */
final class RequestTrace {

  /** Prefixes of the log messages about the state of an entry. */
  private static final List<String> STATE_MESSAGE_PREFIXES =
      List.of("rules in force", "targets:", "store not read", "store read again", "started");

  /** Fields that are left out of the list of fields of a printed line. */
  private static final Set<String> EXCLUDED_FIELDS =
      Set.of("time", "level", "class", "message", "request");

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private RequestTrace() {}

  /** One log line of an entry. */
  private record Line(String time, String entry, String message, String fields) {

    /** Returns the time of the line; lines without a valid time sort first. */
    Instant sortTime() {
      try {
        return Instant.parse(time);
      } catch (DateTimeParseException e) {
        return Instant.EPOCH;
      }
    }

    String format() {
      return time + "  " + entry + "  " + message + (fields.isEmpty() ? "" : "  " + fields);
    }
  }

  /**
   * Reads the lines of a request.
   *
   * @param files log files; the name of the entry is the last word before the JSON object of a
   *     line, or the name of the file if there is none
   * @return lines to print, none if no line belongs to the request; or a failure with the file that
   *     can't be read
   */
  static Result<List<String>> read(String request, List<Path> files) {
    List<Line> lines = new ArrayList<>();
    for (Path file : files) {
      try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
        collect(request, file, reader, lines);
      } catch (IOException e) {
        return Result.failed(
            Step.SETTINGS, file.toString(), "can't read the log file: " + e.getMessage());
      }
    }
    lines.sort(Comparator.comparing(Line::sortTime));
    return Result.success(lines.stream().map(Line::format).distinct().toList());
  }

  private static void collect(String request, Path file, BufferedReader reader, List<Line> lines)
      throws IOException {
    Map<String, Map<String, Line>> stateLinesByEntry = new HashMap<>();
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      int json = text.indexOf('{');
      if (json < 0) {
        continue;
      }
      Optional<JsonNode> parsed = parse(text.substring(json));
      if (parsed.isEmpty()) {
        continue;
      }
      JsonNode node = parsed.get();
      String name = entryName(text.substring(0, json).strip(), file);
      Line line = toLine(name, node);
      Optional<String> statePrefix = stateMessagePrefix(line.message());
      if (statePrefix.isPresent()) {
        stateLinesByEntry.computeIfAbsent(name, n -> new HashMap<>()).put(statePrefix.get(), line);
      } else if (node.path("request").asText().equals(request)) {
        lines.addAll(stateLinesByEntry.getOrDefault(name, Map.of()).values());
        lines.add(line);
      }
    }
  }

  /**
   * Returns the last word before the JSON object of a line, or the name of the file if there is
   * none.
   */
  private static String entryName(String prefix, Path file) {
    return prefix.isEmpty()
        ? String.valueOf(file.getFileName())
        : prefix.substring(prefix.lastIndexOf(' ') + 1);
  }

  private static Optional<String> stateMessagePrefix(String message) {
    return STATE_MESSAGE_PREFIXES.stream().filter(message::startsWith).findFirst();
  }

  /** Returns the JSON object, or empty for lines of other programs that are not JSON. */
  private static Optional<JsonNode> parse(String json) {
    try {
      return Optional.of(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static Line toLine(String entry, JsonNode node) {
    StringJoiner fields = new StringJoiner(" ");
    node.fields()
        .forEachRemaining(
            field -> {
              if (!EXCLUDED_FIELDS.contains(field.getKey())) {
                fields.add(field.getKey() + "=" + field.getValue().asText());
              }
            });
    return new Line(
        node.path("time").asText(), entry, node.path("message").asText(), fields.toString());
  }
}
