package org.chivecross.cli.entry.key;

import java.util.function.Consumer;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;

/** Runs requests that other entries forwarded to the owner of their key. Thread-safe. */
@FunctionalInterface
interface KeyCallRunner {

  /**
   * Starts to run a request.
   *
   * @param remainingMillis time left until the deadline of the request, in ms
   * @param answer receives the answer; called exactly once, from any thread
   */
  void run(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer);
}
