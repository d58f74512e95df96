package org.chivecross.cli.standin.platform;

import java.util.function.UnaryOperator;

/**
 * Current faults of the platform stand-in. Immutable.
 *
 * @param down whether it responds 503 to every new read and watch
 * @param stale whether it keeps serving its present values when the files change
 * @param delayMillis delay of the response to a read, or to a watch that needn't wait, in ms
 * @param silentWatches whether it leaves watches unanswered
 */
record PlatformBehaviour(boolean down, boolean stale, long delayMillis, boolean silentWatches) {

  static final PlatformBehaviour NORMAL = new PlatformBehaviour(false, false, 0, false);

  /** Parses the parameters {@code down}, {@code stale}, {@code delayMillis}, {@code silent}. */
  static PlatformBehaviour of(UnaryOperator<String> parameters) {
    String delay = parameters.apply("delayMillis");
    return new PlatformBehaviour(
        "true".equals(parameters.apply("down")),
        "true".equals(parameters.apply("stale")),
        delay == null ? 0 : Long.parseLong(delay),
        "true".equals(parameters.apply("silent")));
  }
}
