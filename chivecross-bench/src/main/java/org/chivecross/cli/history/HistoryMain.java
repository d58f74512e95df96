package org.chivecross.cli.history;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.history.HistoryChecker;
import org.chivecross.logic.history.HistoryCodec;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.history.Violation;

/** Main class of {@code chivecross-history}, which checks all history files of a run together. */
public final class HistoryMain {

  private static final int MAX_SHOWN_PER_RULE = 5;

  private HistoryMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-history", System.getenv(), System.out, System.err);
    System.exit(launcher.launch(new HistoryOptions(), List.of(arguments), HistoryMain::run));
  }

  private static int run(HistoryOptions options) {
    List<HistoryEvent> events = new ArrayList<>();
    for (Path file : options.files()) {
      Result<List<HistoryEvent>> read = read(file);
      if (read instanceof Result.Failed<List<HistoryEvent>> failed) {
        failed.failures().forEach(failure -> System.err.println(failure));
        return ProgramLauncher.BAD_SETTING;
      }
      events.addAll(((Result.Success<List<HistoryEvent>>) read).value());
    }
    events.sort(Comparator.comparingLong(HistoryEvent::at));
    List<Violation> violations = new HistoryChecker().check(events);
    print(events.size(), violations);
    return violations.isEmpty() ? ProgramLauncher.SUCCESS : ProgramLauncher.FAILURE;
  }

  private static Result<List<HistoryEvent>> read(Path file) {
    try {
      return new HistoryCodec().read(file.toString(), Files.readAllLines(file));
    } catch (IOException e) {
      return Result.failed(Step.FILE_SET, file.toString(), e.toString());
    }
  }

  private static void print(int events, List<Violation> violations) {
    Map<String, Integer> byRule = new TreeMap<>();
    for (Violation violation : violations) {
      int seen = byRule.merge(violation.rule(), 1, Integer::sum);
      if (seen <= MAX_SHOWN_PER_RULE) {
        System.out.println(violation);
      }
    }
    System.out.println(events + " events, " + violations.size() + " violations " + byRule);
  }
}
