package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Passes the parts of requests to the exchanges they belong to. Safe for use by many threads. */
final class CallerFilter extends BaseFilter {

  private final CallerRegistry callers;
  private final ExchangeServices services;
  private final LocalRoutes localRoutes;

  CallerFilter(CallerRegistry callers, ExchangeServices services, LocalRoutes localRoutes) {
    this.callers = callers;
    this.services = services;
    this.localRoutes = localRoutes;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    callers.add((NIOConnection) context.getConnection(), System.nanoTime());
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    CallerConnection caller = callers.of(context.getConnection()).orElseThrow();
    CallerExchange exchange = caller.newest();
    if (exchange != null && exchange.request() != request) {
      if (caller.suspendIfFull(context)) {
        return context.getSuspendAction();
      }
      exchange = null;
    }
    if (exchange == null) {
      if (caller.isExchangeEnded(request)) {
        return context.getStopAction();
      }
      exchange = begin(caller, request);
      if (exchange == null) {
        caller.reportRefused(request);
        return context.getStopAction();
      }
    }
    if (content instanceof HttpBrokenContent) {
      exchange.bodyBroken();
      return context.getStopAction();
    }
    if (receive(exchange, content) || !exchange.suspendReader(context)) {
      return context.getStopAction();
    }
    return context.getSuspendAction();
  }

  /** Passes a part on; an unexpected error ends its request, not the others of the connection. */
  private static boolean receive(CallerExchange exchange, HttpContent content) {
    try {
      return exchange.received(content);
    } catch (RuntimeException | StackOverflowError e) {
      Logger.error(e, "request ended by an unexpected error while it was read");
      exchange.failedUnexpectedly();
      return true;
    }
  }

  /** Begins the exchange of a request; returns null if its connection is being closed. */
  private @Nullable CallerExchange begin(CallerConnection caller, HttpRequestPacket request) {
    Optional<LocalHandler> local = localRoutes.find(request.getRequestURI());
    if (local.isPresent()) {
      LocalExchange exchange =
          new LocalExchange(caller, request, local.get(), services.ports().dialect());
      return caller.begin(exchange) ? exchange : null;
    }
    Exchange exchange = new Exchange(services, caller, request, System.nanoTime());
    if (!caller.begin(exchange)) {
      return null;
    }
    exchange.acknowledge();
    return exchange;
  }
}
