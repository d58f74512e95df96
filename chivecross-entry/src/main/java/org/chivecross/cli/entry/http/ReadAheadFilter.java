package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;

/** Reads from callers; what was read ahead comes first. Safe for use by many threads. */
final class ReadAheadFilter extends TransportFilter {

  private final CallerRegistry callers;

  ReadAheadFilter(CallerRegistry callers) {
    this.callers = callers;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Optional<CallerConnection> caller = callers.of(context.getConnection());
    Buffer ahead = caller.isEmpty() ? null : caller.get().readAhead().take();
    if (ahead == null) {
      return super.handleRead(context);
    }
    context.setMessage(ahead);
    context.setAddress(caller.get().connection().getPeerAddress());
    return context.getInvokeAction();
  }
}
