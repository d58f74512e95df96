package org.chivecross.cli.entry.key;

import java.util.function.Consumer;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;

/** Runs a request that another entry passed. Implementations are safe for use by many threads. */
@FunctionalInterface
interface KeyCallRunner {

  /**
   * Starts to run a request.
   *
   * @param remainingMillis time left, in ms
   * @param answer called exactly once, from any thread
   */
  void run(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer);
}
