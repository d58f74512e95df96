package org.chivecross.cli.entry.http;

import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** Is notified of requests that get no answer because the entry closes their connection. */
@FunctionalInterface
interface CutRequestListener {

  /**
   * Handles a request that was read and gets no answer. May be called by any thread.
   *
   * @param reason why its connection is closed
   * @param outcome not-run exactly if nothing of it was sent to a target
   */
  void requestCut(HttpRequestPacket request, CloseReason reason, Outcome outcome);
}
