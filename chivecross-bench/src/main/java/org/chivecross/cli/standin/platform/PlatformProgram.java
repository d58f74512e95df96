package org.chivecross.cli.standin.platform;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.chivecross.logic.settings.ProgramLauncher;
import org.tinylog.Logger;

/** Runs the platform stand-in until the process is told to end. Stateless. */
public final class PlatformProgram {

  private PlatformProgram() {}

  /** Runs until the process is told to end; returns the exit code when it can't start. */
  public static int run(PlatformOptions options) {
    try {
      PlatformStandin standin = new PlatformStandin(options.toSettings());
      int port = standin.start();
      System.out.println("platform port " + port);
      Logger.info("platform is up on port {}", port);
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
