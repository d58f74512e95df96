package org.chivecross.cli.entry;

import sun.misc.Signal;

/**
 * Handlers for the signals that request a stop or a reload of the settings. A shutdown hook would
 * not suffice: it runs for the first signal only, and a second one must force the stop. Stateless.
 *
 * <p>Install them before listeners are open: by default, the signals end the process at once, also
 * with requests in flight.
 */
public final class StopSignals {

  private StopSignals() {}

  /** Calls {@code reload} for each SIGHUP, which by default would end the process. */
  public static void handleReload(Runnable reload) {
    Signal.handle(new Signal("HUP"), signal -> reload.run());
  }

  /** Calls {@code stop} for each SIGTERM and SIGINT. */
  public static void handle(Runnable stop) {
    Signal.handle(new Signal("TERM"), signal -> stop.run());
    Signal.handle(new Signal("INT"), signal -> stop.run());
  }
}
