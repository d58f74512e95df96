package org.chivecross.cli.entry.http;

import org.tinylog.Logger;

/**
 * Runs the steps of one exchange under its lock, so that an unexpected error in one of them ends
 * this exchange and nothing else: an exception that reaches the library closes the connection on
 * which it was reading, with all other requests on it, and one that reaches the scheduler leaves
 * the exchange without a timer.
 *
 * <p>Invariant: no runtime exception leaves {@link #run}, unless the handler throws one. Safe for
 * use by many threads.
 */
final class ErrorContainment {

  private final Object lock;
  private final Runnable handler;

  /** Creates a containment whose handler is called with the lock held and ends the exchange. */
  ErrorContainment(Object lock, Runnable handler) {
    this.lock = lock;
    this.handler = handler;
  }

  /** Runs a step with the lock held. */
  void run(Runnable step) {
    synchronized (lock) {
      try {
        step.run();
      } catch (RuntimeException | StackOverflowError e) {
        Logger.error(e, "request ended by an unexpected error");
        handler.run();
      }
    }
  }
}
