package org.chivecross.logic.key;

import java.util.function.Consumer;
import org.chivecross.model.failure.Result;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;

/** Forwards calls about keys to the entries that own them. Thread-safe. */
@FunctionalInterface
public interface OwnerCalls {

  /**
   * Forwards a call to the owner.
   *
   * <p>A failure with {@link org.chivecross.model.failure.Step#CONNECT} proves that no byte of the
   * call left this process. After any other failure the owner may have acted on it.
   *
   * @param ownerIncarnation incarnation that owns the key
   * @param remainingMillis time left for the call, in ms
   * @param done called exactly once, on a thread of the transport, within the time left
   */
  void call(
      long ownerIncarnation, KeyCall call, long remainingMillis, Consumer<Result<KeyAnswer>> done);
}
