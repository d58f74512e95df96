package org.chivecross.logic.key;

import java.util.function.Consumer;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;

/** Serves calls of other entries about keys that this incarnation owns. */
@FunctionalInterface
public interface OwnedKeyHandler {

  /**
   * Serves a call. Must not block; called on a thread of the transport.
   *
   * @param remainingMillis time that the caller's entry will wait, in ms
   * @param answer to be called once, from any thread
   */
  void handle(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer);
}
