package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;

/** Reads from callers by their {@link CallerReader}. Safe for use by many threads. */
final class CallerTransportFilter extends TransportFilter {

  private final CallerRegistry callers;

  CallerTransportFilter(CallerRegistry callers) {
    this.callers = callers;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    Optional<CallerConnection> caller = callers.of(connection);
    if (caller.isEmpty()) {
      return super.handleRead(context);
    }
    try {
      Buffer read = caller.get().reader().read();
      if (!read.hasRemaining()) {
        read.tryDispose();
        return context.getStopAction();
      }
      context.setMessage(read);
      context.setAddress(connection.getPeerAddress());
      return context.getInvokeAction();
    } catch (IOException e) {
      // A second read finds the end again, so that the library closes the connection.
      return super.handleRead(context);
    }
  }
}
