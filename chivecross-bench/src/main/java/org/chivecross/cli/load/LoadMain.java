package org.chivecross.cli.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.cli.settings.FileSetDirectory;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;

/** Main class of {@code chivecross-load}. */
public final class LoadMain {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private LoadMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("java.awt.headless", "true");
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-load", System.getenv(), System.out, System.err);
    System.exit(launcher.launch(new LoadOptions(), List.of(arguments), LoadMain::run));
  }

  private static int run(LoadOptions options) {
    LoadPreferences preferences = options.toPreferences();
    Result<FileSet> files = FileSetDirectory.read(preferences.files());
    if (files instanceof Result.Failed<FileSet> failed) {
      failed.failures().forEach(failure -> System.err.println(failure));
      return ProgramLauncher.BAD_SETTING;
    }
    FileSet set = ((Result.Success<FileSet>) files).value();
    try (HistoryWriter history =
        HistoryWriter.open(preferences.outputs().history(), "load-" + preferences.seed())) {
      RequestMix mix = RequestMix.of(set, preferences.mix(), preferences.services());
      HttpClient client =
          HttpClient.newBuilder()
              .version(HttpClient.Version.HTTP_1_1)
              .connectTimeout(CONNECT_TIMEOUT)
              .build();
      LoadReport report = new LoadRun(preferences, mix, history, client).run();
      write(report, preferences.outputs());
      boolean sound = report.missing() == 0 && report.damaged() == 0;
      return sound ? ProgramLauncher.SUCCESS : ProgramLauncher.FAILURE;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("chivecross-load: " + e.getMessage());
      return ProgramLauncher.BAD_SETTING;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ProgramLauncher.FAILURE;
    }
  }

  private static void write(LoadReport report, LoadOutputs outputs) throws IOException {
    LoadReportWriter.print(report, System.out);
    if (!outputs.json().isEmpty()) {
      LoadReportWriter.writeJson(report, Path.of(outputs.json()));
    }
    if (!outputs.plot().isEmpty()) {
      LoadReportWriter.plot(report, Path.of(outputs.plot()));
    }
  }
}
