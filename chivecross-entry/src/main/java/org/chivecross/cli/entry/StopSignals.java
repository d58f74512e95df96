package org.chivecross.cli.entry;

import sun.misc.Signal;

/**
 * Signals that ask a process to stop or to read its settings again. A shutdown hook would see the
 * first one only, and the second must force the stop. Stateless.
 */
public final class StopSignals {

  private StopSignals() {}

  /** Calls {@code reload} for each SIGHUP, which would end the process otherwise. */
  public static void handleReload(Runnable reload) {
    Signal.handle(new Signal("HUP"), signal -> reload.run());
  }

  /** Calls {@code stop} for each SIGTERM and SIGINT. */
  public static void handle(Runnable stop) {
    Signal.handle(new Signal("TERM"), signal -> stop.run());
    Signal.handle(new Signal("INT"), signal -> stop.run());
  }
}
