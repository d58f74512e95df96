package org.chivecross.cli.standin.upstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.chivecross.cli.history.BodyDigest;
import org.chivecross.cli.history.BodyPattern;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.cli.history.StandinHeaders;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.request.LoadReport;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Grizzly filter that serves requests as the target at the local address of the connection.
 *
 * <p>Thread-safe: the parts of one request arrive one after the other, and each target synchronizes
 * its own state.
 */
final class UpstreamFilter extends BaseFilter {

  /** Path of the health endpoint. A probe occupies a slot for {@code PROBE_SERVICE_MICROS}. */
  static final String HEALTH_PATH = "/health";

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final long PROBE_SERVICE_MICROS = 6_000;

  private final Attribute<Exchange> currentExchange =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("standin-exchange");
  private final Map<String, SlottedTarget> targets;
  private final HistoryWriter history;
  private final LongSupplier clock;
  private final Set<Connection<?>> openConnections = ConcurrentHashMap.newKeySet();
  private final Set<Connection<?>> silencedConnections = ConcurrentHashMap.newKeySet();

  UpstreamFilter(Map<String, SlottedTarget> targets, HistoryWriter history, LongSupplier clock) {
    this.targets = Map.copyOf(targets);
    this.history = history;
    this.clock = clock;
  }

  /**
   * Ignores everything that arrives on the connections that are open now, until they are closed.
   * Connections accepted later are served.
   */
  void silenceOpenConnections() {
    silencedConnections.addAll(openConnections);
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    if (targetOf(connection).behaviour().refusing()) {
      connection.terminateSilently();
      return context.getStopAction();
    }
    openConnections.add(connection);
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    openConnections.remove(connection);
    silencedConnections.remove(connection);
    Exchange exchange = currentExchange.remove(connection);
    if (exchange != null) {
      exchange.abandon();
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    if (silencedConnections.contains(connection)) {
      return context.getStopAction();
    }
    HttpContent content = context.getMessage();
    Exchange exchange = currentExchange.get(connection);
    if (exchange == null) {
      HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
      exchange = new Exchange(request, targetOf(connection), clock.getAsLong());
      currentExchange.set(connection, exchange);
    }
    exchange.addBodyPart(content.getContent());
    if (!content.isLast()) {
      return context.getStopAction();
    }
    context.suspend();
    serve(context, exchange);
    return context.getSuspendAction();
  }

  private SlottedTarget targetOf(Connection<?> connection) {
    InetSocketAddress local = (InetSocketAddress) connection.getLocalAddress();
    SlottedTarget target = targets.get(local.getAddress().getHostAddress() + ":" + local.getPort());
    if (target == null) {
      throw new IllegalStateException("no target at " + local);
    }
    return target;
  }

  private void serve(FilterChainContext context, Exchange exchange) {
    Behaviour behaviour = exchange.target().behaviour();
    if (behaviour.failFast()) {
      respond(context, exchange, SERVER_ERROR, false);
      return;
    }
    if (behaviour.shedding()) {
      respond(context, exchange, SERVICE_UNAVAILABLE, true);
      return;
    }
    boolean isProbe = exchange.request().getRequestURI().equals(HEALTH_PATH);
    SlottedTarget.Job job =
        new SlottedTarget.Job(
            isProbe ? PROBE_SERVICE_MICROS : exchange.workMicros(),
            () -> exchange.isAwaited(clock.getAsLong()),
            () -> recordRunStart(exchange),
            () -> respond(context, exchange, OK, false),
            () -> respond(context, exchange, SERVICE_UNAVAILABLE, true));
    if (!exchange.target().submit(job)) {
      respond(context, exchange, SERVICE_UNAVAILABLE, true);
    }
  }

  private void recordRunStart(Exchange exchange) {
    if (exchange.requestId().isEmpty()) {
      return;
    }
    history.write(
        (at, by) ->
            new HistoryEvent.Run(
                at,
                by,
                exchange.requestId(),
                exchange.requestClass(),
                exchange.idempotencyKey(),
                exchange.target().address(),
                exchange.receivedDigest()));
  }

  private void recordRunEnd(Exchange exchange, int status, long length, boolean complete) {
    if (exchange.requestId().isEmpty()) {
      return;
    }
    BodyPattern pattern = new BodyPattern(exchange.requestId());
    history.write(
        (at, by) ->
            new HistoryEvent.Ran(
                at,
                by,
                exchange.requestId(),
                exchange.target().address(),
                status,
                BodyDigest.of(pattern.bytes(0, Math.toIntExact(length))),
                length,
                complete));
  }

  private void respond(FilterChainContext context, Exchange exchange, int status, boolean notRun) {
    Connection<?> connection = context.getConnection();
    Behaviour behaviour = exchange.target().behaviour();
    HttpResponsePacket response = exchange.request().getResponse();
    response.setStatus(status);
    LoadReport load = exchange.target().report();
    response.setHeader(
        "Chivecross-Load",
        "in-service=%d, queued=%d, slots=%d"
            .formatted(load.inService(), load.queued(), load.slots()));
    response.setHeader(StandinHeaders.TARGET, exchange.target().address());
    response.setHeader(StandinHeaders.RECEIVED_BYTES, Long.toString(exchange.receivedBytes()));
    if (behaviour.leaving()) {
      response.setHeader("Chivecross-Leaving", "1");
    }
    if (notRun) {
      response.setHeader("Chivecross-Not-Run", "1");
    }
    boolean hasEmptyBody = status != OK || exchange.request().isHeadRequest();
    long length = hasEmptyBody ? 0 : exchange.bodyBytes();
    response.setContentLengthLong(
        exchange.request().isHeadRequest() ? exchange.bodyBytes() : length);
    boolean breaksBody = behaviour.brokenBody() && length > 1;
    currentExchange.remove(connection);
    BodyPattern pattern = new BodyPattern(exchange.requestId());
    if (!notRun) {
      recordRunEnd(exchange, status, length, !breaksBody);
    }
    Runnable onDone =
        () -> {
          if (breaksBody) {
            connection.terminateSilently();
          }
          context.resume(context.getStopAction());
        };
    new BodyWriter(context, response, pattern, length, onDone)
        .write(breaksBody ? length / 2 : length);
  }
}
