package org.chivecross.wire;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.chivecross.logic.key.OwnedKeyHandler;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.PeerMessage;

/**
 * Sends calls about idempotency keys to the entries that own them, and passes calls of other
 * entries to the local handler. Safe for use by many threads.
 *
 * <p>Invariant: each outgoing call completes exactly once: with its answer, with a failure to send
 * it, or with a timeout.
 */
public final class OwnerCallClient implements OwnerCalls {

  private static final String UNKNOWN_OWNER = "unknown owner";

  /** An outgoing call whose answer is outstanding. */
  private record PendingCall(
      String peer, Consumer<Result<KeyAnswer>> callback, ScheduledFuture<?> timeout) {}

  private final long ownIncarnation;
  private final LongFunction<Optional<String>> liveAddresses;
  private final PeerTransport transport;
  private final ScheduledExecutorService timer;
  private final OwnedKeyHandler handler;
  private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();
  private final AtomicLong lastCallNumber = new AtomicLong();

  /**
   * Creates a client.
   *
   * @param ownIncarnation incarnation of this entry
   * @param liveAddresses returns the peer address of an incarnation; empty if it is not alive
   * @param timer runs the timeouts of calls
   * @param handler handles calls of other entries
   */
  public OwnerCallClient(
      long ownIncarnation,
      LongFunction<Optional<String>> liveAddresses,
      PeerTransport transport,
      ScheduledExecutorService timer,
      OwnedKeyHandler handler) {
    this.ownIncarnation = ownIncarnation;
    this.liveAddresses = liveAddresses;
    this.transport = transport;
    this.timer = timer;
    this.handler = handler;
  }

  @Override
  public void call(
      long ownerIncarnation, KeyCall call, long remainingMillis, Consumer<Result<KeyAnswer>> done) {
    Optional<String> address = liveAddresses.apply(ownerIncarnation);
    if (address.isEmpty()) {
      done.accept(Result.failed(Step.CONNECT, UNKNOWN_OWNER, "owner is not a live entry"));
      return;
    }
    String peer = address.get();
    long number = lastCallNumber.incrementAndGet();
    ScheduledFuture<?> timeout =
        timer.schedule(
            () -> complete(number, Result.failed(Step.KEY_LOOKUP, peer, "no answer in time")),
            remainingMillis,
            TimeUnit.MILLISECONDS);
    pendingCalls.put(number, new PendingCall(peer, done, timeout));
    transport.sendTracked(
        peer,
        new PeerMessage.KeyRequest(number, ownerIncarnation, call, remainingMillis),
        failure -> complete(number, failed(failure)));
  }

  /**
   * Handles a call of another entry or the answer to an own call; ignores messages of other kinds.
   */
  public void receive(PeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.KeyResponse response) {
      complete(response.call(), Result.success(response.answer()));
    } else if (message instanceof PeerMessage.KeyRequest request
        && request.owner() == ownIncarnation) {
      handler.handle(
          request.body(),
          request.remainingMillis(),
          answer -> link.send(new PeerMessage.KeyResponse(request.call(), answer)));
    }
  }

  private static Result<KeyAnswer> failed(Failure failure) {
    return Result.failed(failure.step(), failure.peer(), failure.detail());
  }

  private void complete(long number, Result<KeyAnswer> result) {
    PendingCall pending = pendingCalls.remove(number);
    if (pending == null) {
      return;
    }
    pending.timeout().cancel(false);
    pending.callback().accept(result);
  }
}
