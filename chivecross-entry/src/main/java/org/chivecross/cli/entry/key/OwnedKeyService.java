package org.chivecross.cli.entry.key;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.key.OwnedKeyHandler;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;

/**
 * Handles calls from other entries about keys that this incarnation owns. A call about any other
 * key is answered as unknown and never forwarded, which excludes forwarding loops. Thread-safe.
 */
public final class OwnedKeyService implements OwnedKeyHandler {

  private final KeyRegistry keys;
  private final KeyCallRunner runner;
  private final LongSupplier clock;

  OwnedKeyService(KeyRegistry keys, KeyCallRunner runner, LongSupplier clock) {
    this.keys = keys;
    this.runner = runner;
    this.clock = clock;
  }

  /**
   * Creates a service that runs forwarded requests on this entry's own data path.
   *
   * @param keys keys that this entry owns
   * @param loopback sends requests to the data path of this entry
   * @param clock monotonic time in ns
   */
  public static OwnedKeyService create(
      KeyRegistry keys, LoopbackRunner loopback, LongSupplier clock) {
    return new OwnedKeyService(keys, loopback, clock);
  }

  @Override
  public void handle(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer) {
    long now = clock.getAsLong();
    boolean cancel = call.operation() == KeyOperation.CANCEL;
    KeyClaim claim = cancel ? keys.cancel(call.key(), now) : keys.query(call.key(), now);
    if (claim instanceof KeyClaim.Foreign) {
      answer.accept(
          KeyAnswerConverter.toPeer(KeyStateResponses.unknown("key of another incarnation")));
      return;
    }
    if (call.operation() == KeyOperation.RUN) {
      runner.run(call, remainingMillis, answer);
      return;
    }
    answer.accept(KeyAnswerConverter.toPeer(KeyStateResponses.of(claim)));
  }
}
