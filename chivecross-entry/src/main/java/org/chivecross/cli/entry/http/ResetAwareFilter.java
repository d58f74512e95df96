package org.chivecross.cli.entry.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;

/**
 * Reads from connections and distinguishes a reset from an orderly close. The library's own filter
 * reports both as the end of the stream, but a body that ends with its connection is complete only
 * after an orderly close. Behind such a body, a reset may also follow the end of the stream: some
 * systems send both when a target closes a connection of which it has not read everything. Safe for
 * use by many threads.
 *
 * <p>The library passes an exception of a filter to the filters before it only, so that this one
 * reports bytes that are no response.
 */
final class ResetAwareFilter extends TransportFilter {

  /** Time within which a reset follows the end of the stream. */
  private static final long RESET_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final UpstreamRegistry upstreams;
  private final TaskScheduler scheduler;

  ResetAwareFilter(UpstreamRegistry upstreams, TaskScheduler scheduler) {
    this.upstreams = upstreams;
    this.scheduler = scheduler;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    if (!(context.getConnection() instanceof TCPNIOConnection tcp)) {
      return super.handleRead(context);
    }
    try {
      Buffer read = TCPNIOUtils.allocateAndReadBuffer(tcp);
      if (read.position() == 0) {
        return context.getStopAction();
      }
      read.trim();
      context.setMessage(read);
      context.setAddress(tcp.getPeerAddress());
      return context.getInvokeAction();
    } catch (EOFException e) {
      Optional<UpstreamConnection> unconfirmed = upstreams.unconfirmedEnd(tcp);
      if (unconfirmed.isPresent()) {
        confirmLater(tcp, unconfirmed.get());
        return context.getStopAction();
      }
      // A second read finds the end of the stream again, so that the library closes the connection.
      return super.handleRead(context);
    } catch (IOException e) {
      tcp.terminateWithReason(e);
      return context.getStopAction();
    }
  }

  /** Reads the end of the stream again, or reports a reset, once a reset would have arrived. */
  private void confirmLater(TCPNIOConnection tcp, UpstreamConnection upstream) throws IOException {
    if (!upstream.markEndSeen()) {
      return;
    }
    tcp.disableIOEvent(IOEvent.READ);
    scheduler.scheduleAt(
        System.nanoTime() + RESET_DELAY_NANOS,
        () -> {
          try {
            if (upstream.confirmEnd()) {
              tcp.enableIOEvent(IOEvent.READ);
            } else {
              tcp.terminateWithReason(new IOException("reset behind the end of the stream"));
            }
          } catch (IOException e) {
            tcp.terminateWithReason(e);
          }
        });
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    upstreams.closeMalformed(context.getConnection(), error);
  }
}
