package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Closes connections above a number at once. Safe for use by many threads. */
final class ConnectionLimit extends BaseFilter {

  private final int limit;
  private final AtomicInteger open = new AtomicInteger();

  ConnectionLimit(int limit) {
    this.limit = limit;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) throws IOException {
    if (open.incrementAndGet() > limit) {
      context.getConnection().closeSilently();
      return context.getStopAction();
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) throws IOException {
    open.decrementAndGet();
    return context.getInvokeAction();
  }
}
