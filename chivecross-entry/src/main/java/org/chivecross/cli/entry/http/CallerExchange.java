package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** One request and its response on the connection of a caller. */
interface CallerExchange {

  /** Returns the head of the request. */
  HttpRequestPacket request();

  /**
   * A part of the request arrived; the first one comes with the head.
   *
   * @return whether more may be read now
   */
  boolean received(HttpContent content);

  /** Returns whether the request was read to its end; no part of it can arrive any more. */
  boolean isRequestComplete();

  /** Suspends reading, unless the reason for it has gone; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context);

  /** The body can't be read to its end, since its coding is wrong. */
  void bodyBroken();

  /** All exchanges before this one are over; what was held back for them may be written now. */
  void writeAllowed();

  /** The connection is gone. */
  void callerClosed();
}
