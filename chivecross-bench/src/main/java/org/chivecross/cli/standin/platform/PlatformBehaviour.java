package org.chivecross.cli.standin.platform;

import java.util.function.UnaryOperator;

/**
 * How the stand-in behaves. Immutable.
 *
 * @param down whether it answers 503
 * @param stale whether it goes on serving what it serves now
 * @param delayMillis delay of each answer, in ms
 * @param silentWatches whether watches are never answered
 */
record PlatformBehaviour(boolean down, boolean stale, long delayMillis, boolean silentWatches) {

  static final PlatformBehaviour NORMAL = new PlatformBehaviour(false, false, 0, false);

  /** Reads the parameters {@code down}, {@code stale}, {@code delayMillis}, {@code silent}. */
  static PlatformBehaviour of(UnaryOperator<String> parameters) {
    String delay = parameters.apply("delayMillis");
    return new PlatformBehaviour(
        "true".equals(parameters.apply("down")),
        "true".equals(parameters.apply("stale")),
        delay == null ? 0 : Long.parseLong(delay),
        "true".equals(parameters.apply("silent")));
  }
}
