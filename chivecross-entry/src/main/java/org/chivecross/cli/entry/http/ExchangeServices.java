package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * Services that all exchanges share.
 *
 * @param ports interfaces to the rest of the entry
 * @param client connections to targets
 * @param inFlight all exchanges that have started and are not over
 * @param leaving whether this entry is leaving and closes connections after their next response
 * @param maxBodyBytes most bytes of a request body
 * @param settings limits and time-outs
 * @param abandoned records requests whose callers left while they were running
 * @param forwarded whether the requests were forwarded by other entries
 */
record ExchangeServices(
    DataPathPorts ports,
    UpstreamClient client,
    InFlightExchanges inFlight,
    BooleanSupplier leaving,
    LongSupplier maxBodyBytes,
    DataPathSettings settings,
    AbandonedRequestLog abandoned,
    boolean forwarded) {

  /** Returns the same services for requests that other entries forwarded. */
  ExchangeServices forForwarded() {
    return new ExchangeServices(
        ports, client, inFlight, leaving, maxBodyBytes, settings, abandoned, true);
  }

  /** Returns the empty body of a request; it keeps as much as further attempts may need. */
  RequestBody newBody(HttpRequestPacket request) {
    boolean keyed = RequestHeads.idempotencyKey(request).isPresent();
    return new RequestBody(keyed ? KeyCall.MAX_BODY_BYTES : settings.retainedBodyBytes());
  }

  /** Returns the answer to a request that no target is asked for. */
  LocalResponse refusal(int status, Outcome outcome, Connection<?> caller, String detail) {
    Failure failure = new Failure(Step.ACCEPT, RequestHeads.callerAddress(caller), detail);
    return ports.dialect().answer(status, outcome, failure, OptionalLong.empty());
  }

  /**
   * Passes a request to the entry that owns its key.
   *
   * @param handler receives the response for the caller and its outcome
   */
  void passToOwner(
      long incarnation,
      HttpRequestPacket request,
      BodyFlow body,
      Optional<Route> route,
      long arrivedNanos,
      BiConsumer<LocalResponse, Outcome> handler) {
    long now = System.nanoTime();
    long remaining =
        RequestHeads.remainingMillis(request, route, arrivedNanos, now, ports.dialect());
    OwnerForwarding.send(ports.owners(), incarnation, request, body, remaining, handler);
  }

  /** Completes an answer of this entry to a request. */
  LocalResponse complete(LocalResponse answer, HttpRequestPacket request, Outcome outcome) {
    return forwarded
        ? ports.dialect().answerToEntry(answer, request.getHeaders(), outcome)
        : answer;
  }
}
