package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Filter that immediately closes new connections beyond a maximum number. Thread-safe. */
final class ConnectionLimit extends BaseFilter {

  private final int maxConnections;
  private final AtomicInteger openConnections = new AtomicInteger();

  ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) throws IOException {
    if (openConnections.incrementAndGet() > maxConnections) {
      context.getConnection().closeSilently();
      return context.getStopAction();
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) throws IOException {
    openConnections.decrementAndGet();
    return context.getInvokeAction();
  }
}
