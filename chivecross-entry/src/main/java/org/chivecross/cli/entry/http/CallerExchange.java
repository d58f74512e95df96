package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** One request and its response on the connection of a caller. */
interface CallerExchange {

  /** Returns the head of the request. */
  HttpRequestPacket request();

  /**
   * Handles a part of the request; the first one contains the head.
   *
   * @return whether more may be read now
   */
  boolean received(HttpContent content);

  /** Returns whether the request was read completely, so that no part of it can still arrive. */
  boolean isRequestComplete();

  /** Suspends reading if that is still necessary; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context);

  /** Handles a body that can't be read completely because its chunked coding is invalid. */
  void bodyBroken();

  /** Ends the exchange with an answer, after an unexpected error in one of its steps. */
  void failedUnexpectedly();

  /** Called when all exchanges before this one are over, so that it may write its response. */
  void writeAllowed();

  /** Ends the exchange because the entry ends, with an answer if no response has begun. */
  default void stop(StoppedRequestLog stopped) {}

  /** Handles the close of the caller's connection. */
  void callerClosed();
}
