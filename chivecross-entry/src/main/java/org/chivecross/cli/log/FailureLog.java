package org.chivecross.cli.log;

import org.chivecross.model.failure.Failure;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Logs failures with their step and peer as fields of the JSON line. Stateless; after a call, the
 * logging context of the calling thread contains neither field.
 */
public final class FailureLog {

  private static final String STEP = "step";
  private static final String PEER = "peer";

  private FailureLog() {}

  /** Logs a failure at level error. */
  public static void error(Failure failure) {
    withContext(failure, () -> Logger.error(failure.detail()));
  }

  /** Logs a failure and its cause at level error. */
  public static void error(Failure failure, Throwable cause) {
    withContext(failure, () -> Logger.error(cause, failure.detail()));
  }

  /** Logs a failure that needs no action by an operator at level warn. */
  public static void warn(Failure failure) {
    withContext(failure, () -> Logger.warn(failure.detail()));
  }

  private static void withContext(Failure failure, Runnable log) {
    ThreadContext.put(STEP, failure.step().name());
    ThreadContext.put(PEER, failure.peer());
    try {
      log.run();
    } finally {
      ThreadContext.remove(STEP);
      ThreadContext.remove(PEER);
    }
  }
}
