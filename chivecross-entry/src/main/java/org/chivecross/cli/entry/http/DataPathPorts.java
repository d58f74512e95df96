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
 * The interfaces through which a data path uses the rest of the entry.
 *
 * @param machines creates the machine that decides about each request
 * @param router finds the service and request class of a request
 * @param firstByteTimeout first-byte timeout after which a connection counts as silent
 * @param owners passes requests to the entries that own their keys
 * @param addresses where the targets listen
 * @param localRoutes paths that this entry answers itself
 * @param observer is notified of the results of requests
 * @param dialect headers and responses of the protocol in use
 * @param scheduler runs the timers of requests
 * @param locks supplies the lock of each request, which also guards what its machine uses
 */
public record DataPathPorts(
    RequestMachines machines,
    RequestRouter router,
    FirstByteTimeout firstByteTimeout,
    OwnerCalls owners,
    UpstreamAddresses addresses,
    LocalRoutes localRoutes,
    ExchangeObserver observer,
    RequestDialect dialect,
    TaskScheduler scheduler,
    Supplier<Object> locks) {

  /** Returns the ports of a data path that uses the project's own headers. */
  public static DataPathPorts of(
      RequestPolicies policies,
      OwnerCalls owners,
      UpstreamAddresses addresses,
      LocalRoutes localRoutes,
      ExchangeObserver observer) {
    return new DataPathPorts(
        observer.recorded(new DefaultRequestMachines(policies)),
        policies.router(),
        policies.retries()::firstByteTimeoutNanos,
        owners,
        addresses,
        localRoutes,
        observer,
        new NativeDialect(),
        TaskScheduler.POLLED,
        Object::new);
  }

  /** Returns the response of a decision; {@code naming} replaces its peer by a readable name. */
  LocalResponse answer(Decision.Answer answer, UnaryOperator<Failure> naming) {
    Failure failure = naming.apply(answer.failure());
    return dialect.answer(answer.status(), answer.outcome(), failure, answer.retryAfterMillis());
  }

  /** Returns whether a response can be relayed, judged by its head. */
  boolean isRelayable(HttpRequestPacket request, HttpResponsePacket head) {
    boolean untilClose = dialect.allowsBodyUntilClose();
    return ResponseHeads.isFramingSound(head, request.isHeadRequest(), untilClose)
        && dialect.isResponseTo(request.getHeaders(), head);
  }
}
