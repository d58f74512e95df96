package org.chivecross.logic.dispatch;

/** Asks targets for their load; the answer is reported to {@link Dispatcher#probeEnded}. */
@FunctionalInterface
public interface ProbeSender {

  /** Sends a health request to the target of a row. */
  void send(int target);
}
