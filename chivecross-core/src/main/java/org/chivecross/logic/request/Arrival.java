package org.chivecross.logic.request;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;

/** Determines the deadline of a routed request and claims its idempotency key. Immutable. */
final class Arrival {

  private static final long MAX_DEADLINE_MILLIS = TimeUnit.HOURS.toMillis(24);

  private final KeyRegistry keys;
  private final Refusals refusals;

  Arrival(KeyRegistry keys, Refusals refusals) {
    this.keys = keys;
    this.refusals = refusals;
  }

  /** Result of claiming the key of a request. */
  sealed interface Step {}

  /**
   * The request continues.
   *
   * @param context the request
   */
  record Proceed(RequestContext context) implements Step {}

  /**
   * The request ends without an attempt.
   *
   * @param decision decision to carry out
   */
  record Stop(Decision decision) implements Step {}

  /**
   * Refuses a request that no rule matches. A rule may have matched an earlier request with the
   * same key, so that request may have run.
   */
  Decision noRoute(RequestHead head, Optional<NotRunProof> proof, long nowNanos) {
    boolean mayHaveRun = head.idempotencyKey().filter(key -> mayHaveRun(key, nowNanos)).isPresent();
    return refusals.noRoute(mayHaveRun ? Optional.empty() : proof, head);
  }

  private boolean mayHaveRun(String key, long nowNanos) {
    KeyClaim claim = keys.query(key, nowNanos);
    return !(claim instanceof KeyClaim.Run
        || claim instanceof KeyClaim.Fenced
        || claim instanceof KeyClaim.Malformed);
  }

  Step claim(Route route, RequestHead head, Optional<NotRunProof> proof, long nowNanos) {
    long deadlineNanos = deadlineNanos(route, head, nowNanos);
    RequestContext withoutKey = new RequestContext(route, head, deadlineNanos, Optional.empty());
    if (route.requestClass() == RequestClass.READ || head.idempotencyKey().isEmpty()) {
      return new Proceed(withoutKey);
    }
    String key = head.idempotencyKey().get();
    KeyClaim claim = keys.claim(key, nowNanos);
    if (claim instanceof KeyClaim.Run) {
      return new Proceed(new RequestContext(route, head, deadlineNanos, Optional.of(key)));
    }
    return new Stop(refuse(claim, withoutKey, proof, nowNanos));
  }

  private Decision refuse(
      KeyClaim claim, RequestContext context, Optional<NotRunProof> proof, long nowNanos) {
    if (claim instanceof KeyClaim.Foreign foreign) {
      return new Decision.PassToOwner(foreign.ownerIncarnation());
    }
    if (claim instanceof KeyClaim.Finished finished) {
      String detail =
          finished.status() == 0
              ? "the first request ended without an answer"
              : "the first request ended with status " + finished.status();
      return refusals.knownKey(finished.outcome(), detail, OptionalLong.empty());
    }
    if (claim instanceof KeyClaim.Fenced) {
      return refusals.knownKey(
          refusals.outcomeOf(proof), "the key was cancelled", OptionalLong.empty());
    }
    if (claim instanceof KeyClaim.InFlight) {
      OptionalLong retryAfterMillis = refusals.retryAfterMillis(context, nowNanos);
      return refusals.knownKey(Outcome.UNKNOWN, "the first request is in flight", retryAfterMillis);
    }
    if (claim instanceof KeyClaim.OutsideWindow) {
      return refusals.knownKey(
          Outcome.UNKNOWN, "the window of the key has passed", OptionalLong.empty());
    }
    if (claim instanceof KeyClaim.TableFull) {
      return refusals.keyTableFull(proof, context, nowNanos);
    }
    return refusals.malformedKey(proof);
  }

  private static long deadlineNanos(Route route, RequestHead head, long nowNanos) {
    long requestedMillis = head.deadlineMillis().orElse(route.deadlineMillis());
    long boundedMillis = Math.max(0, Math.min(requestedMillis, MAX_DEADLINE_MILLIS));
    return nowNanos + TimeUnit.MILLISECONDS.toNanos(boundedMillis);
  }
}
