package org.chivecross.cli.standin.platform;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.chivecross.logic.settings.ProgramLauncher;
import org.tinylog.Logger;

/** Runs the platform stand-in until the process is stopped. Stateless. */
public final class PlatformProgram {

  private PlatformProgram() {}

  /** Starts the stand-in and blocks; returns an exit code if it can't start or is interrupted. */
  public static int run(PlatformOptions options) {
    try {
      PlatformStandin standin = new PlatformStandin(options.toSettings());
      int port = standin.start();
      System.out.println("platform port " + port);
      Logger.info("platform stand-in listens on port {}", port);
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
