package org.chivecross.cli.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.fileset.FileSetPacker;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSetProblem;

/** One run of {@code chivecross-check}. Not thread-safe. */
final class CheckRun {

  private static final String PROGRAM = "chivecross-check";

  private final CheckPreferences preferences;
  private final PrintStream out;
  private final PrintStream err;
  private final JsonMapper mapper =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  /** Creates a run that prints its result to {@code out} and errors to {@code err}. */
  CheckRun(CheckPreferences preferences, PrintStream out, PrintStream err) {
    this.preferences = preferences;
    this.out = out;
    this.err = err;
  }

  /** Checks the file set, packs it if requested, and returns the exit code. */
  int run() {
    Path directory = preferences.directory();
    if (!Files.isDirectory(directory)) {
      return badSetting("DIR", directory.toString(), "a directory");
    }
    try {
      if (!preferences.pack().isEmpty()
          && !PackWriter.isMissingOrEmpty(Path.of(preferences.pack()))) {
        return badSetting("--pack", preferences.pack(), "an empty directory, or a new one");
      }
      return check(FileSetReader.read(directory));
    } catch (IOException e) {
      err.println(PROGRAM + ": can't read the file set or write the packed values: " + e);
      return ProgramLauncher.FAILURE;
    }
  }

  private int check(Map<String, byte[]> contents) throws IOException {
    List<FileSetProblem> problems = new FileSetParser().checkBytes(contents);
    if (!problems.isEmpty() || preferences.pack().isEmpty()) {
      print(new CheckReport(problems.isEmpty(), contents.size(), problems, Map.of()));
      return problems.isEmpty() ? ProgramLauncher.SUCCESS : ProgramLauncher.FAILURE;
    }
    Result<Map<String, byte[]>> packed = new FileSetPacker().pack(contents, preferences.epoch());
    if (packed instanceof Result.Failed<Map<String, byte[]>> failed) {
      for (Failure failure : failed.failures()) {
        err.println(PROGRAM + ": " + failure.detail());
      }
      return ProgramLauncher.FAILURE;
    }
    Map<String, byte[]> values = ((Result.Success<Map<String, byte[]>>) packed).value();
    PackWriter.write(Path.of(preferences.pack()), values);
    Map<String, Integer> sizes = new TreeMap<>();
    values.forEach((name, value) -> sizes.put(name, value.length));
    print(new CheckReport(true, contents.size(), problems, sizes));
    return ProgramLauncher.SUCCESS;
  }

  private void print(CheckReport report) throws JsonProcessingException {
    if (preferences.json()) {
      out.println(mapper.writeValueAsString(report));
      return;
    }
    for (FileSetProblem problem : report.problems()) {
      out.println(problem);
    }
    if (!report.valid()) {
      out.println("refused: " + report.problems().size() + " problems");
      return;
    }
    out.println("valid: " + report.files() + " files");
    if (!report.packed().isEmpty()) {
      out.println("packed: " + report.packed().size() + " values below " + preferences.pack());
    }
  }

  private int badSetting(String setting, String given, String allowed) {
    err.println(PROGRAM + ": " + setting + ": got \"" + given + "\", allowed: " + allowed);
    return ProgramLauncher.BAD_SETTING;
  }
}
