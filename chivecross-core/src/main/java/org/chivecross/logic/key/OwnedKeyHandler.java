package org.chivecross.logic.key;

import java.util.function.Consumer;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;

/** Handles calls from other entries about keys that this incarnation owns. */
@FunctionalInterface
public interface OwnedKeyHandler {

  /**
   * Handles a call. Must not block; called on a thread of the transport.
   *
   * @param remainingMillis time that the calling entry still waits, in ms
   * @param answer receives the answer; to be called exactly once, from any thread
   */
  void handle(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer);
}
