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
 * The lines of log files that tell of one request, in order of time, each entry's with what it
 * believed when the request came. Stateless.
 */
final class RequestTrace {

  /** Beginnings of messages that tell what an entry believes. */
  private static final List<String> STATE_MESSAGE_PREFIXES =
      List.of("rules in force", "targets:", "store not read", "store read again", "started");

  private static final Set<String> EXCLUDED_FIELDS =
      Set.of("time", "level", "class", "message", "request");

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private RequestTrace() {}

  /** A line of a log. */
  private record Line(String time, String entry, String message, String fields) {

    /** Lines without a readable time come first. */
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
   * Reads the story of a request.
   *
   * @param files log files; text before the JSON of a line is taken as the name of the entry, else
   *     the name of the file
   * @return lines to print, none when no file names the request, or a failure that names the file
   */
  static Result<List<String>> read(String request, List<Path> files) {
    List<Line> story = new ArrayList<>();
    for (Path file : files) {
      try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
        collect(request, file, reader, story);
      } catch (IOException e) {
        return Result.failed(Step.SETTINGS, file.toString(), "can't be read: " + e.getMessage());
      }
    }
    story.sort(Comparator.comparing(Line::sortTime));
    return Result.success(story.stream().map(Line::format).distinct().toList());
  }

  private static void collect(String request, Path file, BufferedReader reader, List<Line> story)
      throws IOException {
    Map<String, Map<String, Line>> beliefs = new HashMap<>();
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
      Optional<String> belief = stateMessagePrefix(line.message());
      if (belief.isPresent()) {
        beliefs.computeIfAbsent(name, n -> new HashMap<>()).put(belief.get(), line);
      } else if (node.path("request").asText().equals(request)) {
        story.addAll(beliefs.getOrDefault(name, Map.of()).values());
        story.add(line);
      }
    }
  }

  /**
   * Returns the last word before the JSON of a line, or the name of the file when there is none.
   */
  private static String entryName(String prefix, Path file) {
    return prefix.isEmpty()
        ? String.valueOf(file.getFileName())
        : prefix.substring(prefix.lastIndexOf(' ') + 1);
  }

  private static Optional<String> stateMessagePrefix(String message) {
    return STATE_MESSAGE_PREFIXES.stream().filter(message::startsWith).findFirst();
  }

  /** Lines of other programs may be no JSON; they tell nothing of a request. */
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
