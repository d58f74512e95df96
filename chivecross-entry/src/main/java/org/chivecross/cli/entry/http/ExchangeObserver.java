package org.chivecross.cli.entry.http;

import org.chivecross.logic.request.RequestMachines;

/** Learns what became of requests. Implementations are safe for use by many threads. */
public interface ExchangeObserver {

  /** Returns machines that also report their decisions to this observer. */
  default RequestMachines recorded(RequestMachines machines) {
    return machines;
  }

  /** A request is over. */
  void ended(ExchangeSummary summary);

  /** A connection to a target was found silent; {@code closed} idle neighbours were closed too. */
  void silentConnectionFound(int closed);

  /** A request head was refused. */
  void headRefused(int status);
}
