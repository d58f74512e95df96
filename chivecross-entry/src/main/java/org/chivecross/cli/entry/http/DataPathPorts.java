package org.chivecross.cli.entry.http;

import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.request.DefaultRequestMachines;
import org.chivecross.logic.request.RequestMachines;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.routing.RequestRouter;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.Decision;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * What a data path asks of its surroundings.
 *
 * @param machines creates the machine that decides about each request
 * @param router finds the service and class that a request counts for
 * @param silence tells when a connection counts as silent
 * @param owners passes requests to the entries that own their keys
 * @param addresses where the targets listen
 * @param localRoutes paths that this entry answers itself
 * @param observer learns what became of requests
 * @param dialect how requests and answers are spelled
 * @param timer runs the timers of requests
 * @param locks makes the lock of each request, which also guards what its machine uses
 */
public record DataPathPorts(
    RequestMachines machines,
    RequestRouter router,
    SilenceThreshold silence,
    OwnerCalls owners,
    UpstreamAddresses addresses,
    LocalRoutes localRoutes,
    ExchangeObserver observer,
    RequestDialect dialect,
    TaskScheduler timer,
    Supplier<Object> locks) {

  /** Returns the ports of a data path that speaks the project's own dialect. */
  public static DataPathPorts of(
      RequestPolicies policies,
      OwnerCalls owners,
      UpstreamAddresses addresses,
      LocalRoutes localRoutes,
      ExchangeObserver observer) {
    return new DataPathPorts(
        observer.recorded(new DefaultRequestMachines(policies)),
        policies.router(),
        policies.retries()::silenceNanos,
        owners,
        addresses,
        localRoutes,
        observer,
        new NativeDialect(),
        TaskScheduler.POLLED,
        Object::new);
  }

  /** Returns the answer that a decision asks for; {@code naming} makes its peer readable. */
  LocalResponse answer(Decision.Answer answer, UnaryOperator<Failure> naming) {
    Failure failure = naming.apply(answer.failure());
    return dialect.answer(answer.status(), answer.outcome(), failure, answer.retryAfterMillis());
  }

  /** Returns whether a response can be relayed, as far as its head tells. */
  boolean isRelayable(HttpRequestPacket request, HttpResponsePacket head) {
    boolean untilClose = dialect.allowsBodyUntilClose();
    return ResponseHeads.isFramingSound(head, request.isHeadRequest(), untilClose)
        && dialect.isResponseTo(request.getHeaders(), head);
  }
}
