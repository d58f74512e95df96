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
 * Calls about idempotency keys, both sides. Safe for use by many threads.
 *
 * <p>Invariant: each call ends exactly once: by its answer, by a failure to send it, or when its
 * time is up.
 */
public final class OwnerCallClient implements OwnerCalls {

  private static final String UNKNOWN_OWNER = "unknown owner";

  /** A call that waits for its answer. */
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
   * @param self incarnation of this entry
   * @param addresses peer address of a live incarnation
   * @param timer runs the time-outs
   * @param handler serves calls of others
   */
  public OwnerCallClient(
      long self,
      LongFunction<Optional<String>> addresses,
      PeerTransport transport,
      ScheduledExecutorService timer,
      OwnedKeyHandler handler) {
    this.ownIncarnation = self;
    this.liveAddresses = addresses;
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

  /** Takes in a message of another entry; messages of other kinds are ignored. */
  public void receive(PeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.KeyResponse response) {
      complete(response.call(), Result.success(response.answer()));
    } else if (message instanceof PeerMessage.KeyRequest request && request.owner() == ownIncarnation) {
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
    PendingCall call = pendingCalls.remove(number);
    if (call == null) {
      return;
    }
    call.timeout().cancel(false);
    call.callback().accept(result);
  }
}
