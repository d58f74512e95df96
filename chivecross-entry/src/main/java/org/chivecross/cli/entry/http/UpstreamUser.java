package org.chivecross.cli.entry.http;

import org.chivecross.model.request.ConnectionFault;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;

/** What a connection to a target is used for. Implementations are safe for use by many threads. */
interface UpstreamUser {

  /** A part of a response arrived; returns whether more may be read now. */
  boolean received(HttpContent content);

  /** The connection is of no more use. */
  void failed(ConnectionFault fault);

  /**
   * The connection was closed.
   *
   * @param orderly whether the target ended it in order, rather than with a reset
   */
  default void closed(boolean orderly) {
    failed(ConnectionFault.CLOSED);
  }

  /** Suspends reading, unless the reason for it has gone; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context);
}
