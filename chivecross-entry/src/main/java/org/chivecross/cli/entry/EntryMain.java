package org.chivecross.cli.entry;

import java.io.IOException;
import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.tinylog.Logger;
import org.tinylog.jul.JulTinylogBridge;

/** Main class of {@code chivecross-entry}. */
public final class EntryMain {

  private EntryMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    JulTinylogBridge.activate();
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-entry", System.getenv(), System.out, System.err);
    int code = launcher.launch(new EntryOptions(), List.of(arguments), EntryMain::run);
    if (code != ProgramLauncher.SUCCESS) {
      System.exit(code);
    }
  }

  private static int run(EntryOptions options) {
    Result<EntryPreferences> preferences = EntryPreferences.of(options);
    if (preferences instanceof Result.Failed<EntryPreferences> failed) {
      System.err.println("chivecross-entry: " + failed.failures().get(0).detail());
      return ProgramLauncher.BAD_SETTING;
    }
    return serve(((Result.Success<EntryPreferences>) preferences).value());
  }

  private static int serve(EntryPreferences preferences) {
    try {
      Result<EntryProcess> process = EntryProcess.create(preferences);
      if (process instanceof Result.Failed<EntryProcess> failed) {
        for (Failure failure : failed.failures()) {
          System.err.println("chivecross-entry: " + failure);
        }
        return ProgramLauncher.FAILURE;
      }
      EntryProcess entry = ((Result.Success<EntryProcess>) process).value();
      if (entry.start() instanceof Result.Failed<Integer> failed) {
        System.err.println("chivecross-entry: " + failed.failures().get(0).detail());
        return ProgramLauncher.BAD_SETTING;
      }
      StopSignals.handle(entry::requestStop);
      entry.awaitStop();
      return ProgramLauncher.SUCCESS;
    } catch (IOException e) {
      Logger.error(e, "start of the entry failed; the process ends");
      return ProgramLauncher.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ProgramLauncher.FAILURE;
    }
  }
}
