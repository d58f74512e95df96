package org.chivecross.cli.standin.upstream;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.chivecross.cli.settings.FileSetDirectory;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.tinylog.Logger;

/** Runs the upstream stand-in until the process is stopped. Stateless. */
public final class UpstreamProgram {

  private UpstreamProgram() {}

  /** Starts the stand-in and blocks; returns an exit code if it can't start or is interrupted. */
  public static int run(UpstreamOptions options) {
    UpstreamPreferences preferences = options.toPreferences();
    Result<FileSet> files = FileSetDirectory.read(preferences.files());
    if (files instanceof Result.Failed<FileSet> failed) {
      failed.failures().forEach(failure -> System.err.println(failure));
      return ProgramLauncher.BAD_SETTING;
    }
    FileSet set = ((Result.Success<FileSet>) files).value();
    try {
      UpstreamStandin standin = UpstreamStandin.start(set, preferences);
      System.out.println("control port " + standin.controlPort());
      Logger.info("serving the targets of deployment {}", set.deployment().name());
      new CountDownLatch(1).await();
      return ProgramLauncher.SUCCESS;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("chivecross-standin: " + e.getMessage());
      return ProgramLauncher.BAD_SETTING;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ProgramLauncher.SUCCESS;
    }
  }
}
