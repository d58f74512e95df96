package org.chivecross.cli.entry.http;

import org.chivecross.model.request.ConnectionFault;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;

/**
 * The attempt or probe that uses a connection to a target. Implementations are safe for use by many
 * threads.
 */
interface UpstreamUser {

  /** Handles a part of a response; returns whether more may be read now. */
  boolean received(HttpContent content);

  /** Handles a fault after which the connection can't be used any more. */
  void failed(ConnectionFault fault);

  /** Handles an unexpected error of this entry, after which the connection is closed. */
  default void failedUnexpectedly() {
    failed(ConnectionFault.LOCAL);
  }

  /**
   * Handles the close of the connection.
   *
   * @param orderly whether the target closed it in an orderly way, without a reset
   */
  default void closed(boolean orderly) {
    failed(ConnectionFault.CLOSED);
  }

  /** Returns whether the response being received ends with the end of the stream. */
  default boolean awaitsEndOfStream() {
    return false;
  }

  /** Suspends reading if that is still necessary; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context);
}
