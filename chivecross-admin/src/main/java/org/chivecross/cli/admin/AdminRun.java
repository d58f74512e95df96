package org.chivecross.cli.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;

/** One run of {@code chivecross-admin}. Not thread-safe. */
final class AdminRun {

  private static final String PROGRAM = "chivecross-admin";
  private static final int FIRST_FILE_INDEX = 2;
  private static final String API = "/admin/v1/";
  private static final List<String> LIST_COMMANDS =
      List.of("targets", "members", "services", "tenants", "decisions");

  private final AdminPreferences preferences;
  private final EntrySource source;
  private final WaitClock clock;
  private final PrintStream out;
  private final PrintStream err;
  private final EntryReader reader;
  private final JsonMapper mapper =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  /** Creates a run that prints results to {@code out} and errors to {@code err}. */
  AdminRun(
      AdminPreferences preferences,
      EntrySource source,
      WaitClock clock,
      PrintStream out,
      PrintStream err) {
    this.preferences = preferences;
    this.source = source;
    this.clock = clock;
    this.out = out;
    this.err = err;
    reader = new EntryReader(preferences.entries(), err);
  }

  /** Runs the command; returns the exit code. */
  int run() {
    String command = preferences.name();
    if (LIST_COMMANDS.contains(command)) {
      return printByEntry(reader.readAll(entry -> readRows(entry, command)));
    }
    return switch (command) {
      case "config" -> printByEntry(reader.readAll(entry -> readSingleRow(entry, "config")));
      case "key" -> key();
      case "diff" -> diff();
      case "wait" -> new VersionWait(preferences, source, reader, clock, out, err).run();
      case "histograms" -> histograms();
      case "explain" -> explain();
      case "where" ->
          new PlacementQuery(preferences.explained(), source, out, err).run(preferences.json());
      default -> badCommand(command);
    };
  }

  private int key() {
    if (preferences.argument().isEmpty()) {
      return badSetting("key: got no KEY, allowed: one idempotency key");
    }
    String path = "keys/" + AdminClient.encodePathSegment(preferences.argument());
    return printByEntry(reader.readAll(entry -> readSingleRow(entry, path)));
  }

  private int diff() {
    List<Map<String, String>> differences = new ArrayList<>();
    Map<String, List<JsonNode>> configs = reader.readAll(entry -> readSingleRow(entry, "config"));
    differences.addAll(EntryDiff.compare("config", "", List.of("deployment", "version"), configs));
    for (DiffView view : DiffView.ALL) {
      Map<String, List<JsonNode>> rows = reader.readAll(entry -> readRows(entry, view.name()));
      rows.replaceAll((entry, all) -> all.stream().filter(view.isCompared()).toList());
      differences.addAll(EntryDiff.compare(view.name(), view.key(), view.fields(), rows));
    }
    if (!differences.isEmpty()) {
      printDifferences(differences);
      return ProgramLauncher.FAILURE;
    }
    if (reader.haveAllEntriesAnswered() && !preferences.json()) {
      out.println("no differences between " + preferences.entries().size() + " entries");
    }
    return exitCode();
  }

  private int explain() {
    List<String> arguments = preferences.command();
    if (arguments.size() < FIRST_FILE_INDEX + 1) {
      return badSetting(
          "explain: too few arguments, allowed: one request id and one or more log files");
    }
    List<Path> files =
        arguments.subList(FIRST_FILE_INDEX, arguments.size()).stream().map(Path::of).toList();
    Result<List<String>> trace = RequestTrace.read(preferences.argument(), files);
    if (trace instanceof Result.Failed<List<String>> failed) {
      return badSetting(failed.failures().get(0).toString());
    }
    List<String> lines = ((Result.Success<List<String>>) trace).value();
    lines.forEach(out::println);
    if (lines.isEmpty()) {
      err.println(PROGRAM + ": no log line belongs to request " + preferences.argument());
      return ProgramLauncher.FAILURE;
    }
    return ProgramLauncher.SUCCESS;
  }

  private int histograms() {
    Map<String, Map<Double, Long>> histograms = new TreeMap<>();
    reader
        .readAll(entry -> source.text(entry, "/metrics"))
        .values()
        .forEach(text -> PrometheusText.addHistograms(text, preferences.argument(), histograms));
    if (preferences.json()) {
      printJson(histograms);
      return exitCode();
    }
    histograms.forEach((name, buckets) -> out.print(HistogramText.format(name, buckets)));
    return exitCode();
  }

  private Result<List<JsonNode>> readSingleRow(String entry, String view) {
    return source.object(entry, API + view).flatMap(row -> Result.success(List.of(row)));
  }

  private Result<List<JsonNode>> readRows(String entry, String view) {
    return source
        .rows(entry, API + view)
        .flatMap(
            items -> {
              List<JsonNode> rows = new ArrayList<>();
              items.forEach(rows::add);
              return Result.success(rows);
            });
  }

  private int printByEntry(Map<String, List<JsonNode>> rowsByEntry) {
    if (preferences.json()) {
      printJson(rowsByEntry);
      return exitCode();
    }
    List<Map<String, String>> rows = new ArrayList<>();
    rowsByEntry.forEach(
        (entry, entryRows) -> {
          for (JsonNode row : entryRows) {
            Map<String, String> cells = new LinkedHashMap<>();
            if (preferences.entries().size() > 1) {
              cells.put("entry", entry);
            }
            cells.putAll(TableText.cells(row));
            rows.add(cells);
          }
        });
    out.print(TableText.draw(rows));
    return exitCode();
  }

  private void printDifferences(List<Map<String, String>> rows) {
    if (preferences.json()) {
      printJson(rows);
    } else {
      out.print(TableText.draw(rows));
    }
  }

  private void printJson(Object value) {
    try {
      out.println(mapper.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to write rows as JSON", e);
    }
  }

  private int exitCode() {
    return reader.haveAllEntriesAnswered() ? ProgramLauncher.SUCCESS : ProgramLauncher.FAILURE;
  }

  private int badCommand(String command) {
    return badSetting(
        "COMMAND: got \""
            + command
            + "\", allowed: config, "
            + String.join(", ", LIST_COMMANDS)
            + ", key, histograms, diff, wait, explain, where");
  }

  private int badSetting(String message) {
    err.println(PROGRAM + ": " + message);
    return ProgramLauncher.BAD_SETTING;
  }
}
