package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;

/** Gives what callers send to the exchange it belongs to. Safe for use by many threads. */
final class CallerFilter extends BaseFilter {

  private final Attribute<CallerConnection> attribute =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("chivecross.caller");
  private final Set<CallerConnection> callers = ConcurrentHashMap.newKeySet();
  private final ExchangeServices services;
  private final LocalRoutes localRoutes;

  CallerFilter(ExchangeServices services, LocalRoutes localRoutes) {
    this.services = services;
    this.localRoutes = localRoutes;
  }

  Set<CallerConnection> callers() {
    return callers;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    CallerConnection caller =
        new CallerConnection((NIOConnection) context.getConnection(), System.nanoTime());
    attribute.set(context.getConnection(), caller);
    callers.add(caller);
    context.getConnection().addCloseListener((closeable, type) -> closed(caller));
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    CallerConnection caller = attribute.get(context.getConnection());
    CallerExchange exchange = caller.current();
    if (exchange != null && exchange.request() != request) {
      if (caller.park(context)) {
        return context.getSuspendAction();
      }
      exchange = null;
    }
    if (content instanceof HttpBrokenContent) {
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    if (exchange == null) {
      if (caller.isFinished(request)) {
        return context.getStopAction();
      }
      exchange = begin(caller, request);
    }
    if (exchange.received(content) || !exchange.parkReader(context)) {
      return context.getStopAction();
    }
    return context.getSuspendAction();
  }

  private CallerExchange begin(CallerConnection caller, HttpRequestPacket request) {
    Optional<LocalHandler> local = localRoutes.find(request.getRequestURI());
    if (local.isPresent()) {
      LocalExchange exchange = new LocalExchange(caller, request, local.get());
      caller.begin(exchange);
      return exchange;
    }
    Exchange exchange = new Exchange(services, caller, request, System.nanoTime());
    caller.begin(exchange);
    exchange.acknowledge();
    return exchange;
  }

  private void closed(CallerConnection caller) {
    callers.remove(caller);
    CallerExchange exchange = caller.current();
    if (exchange != null) {
      exchange.callerClosed();
    }
  }

  /** Returns the caller of a connection, if it was accepted here. */
  Optional<CallerConnection> callerOf(Connection<?> connection) {
    return Optional.ofNullable(attribute.get(connection));
  }
}
