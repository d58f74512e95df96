package org.chivecross.logic.dispatch;

/**
 * Sends health probes to targets; the end of a probe is reported to {@link Dispatcher#probeEnded}.
 */
@FunctionalInterface
public interface ProbeSender {

  /** Sends a health request to the target of a row. */
  void send(int target);
}
