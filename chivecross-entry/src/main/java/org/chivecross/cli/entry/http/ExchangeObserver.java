package org.chivecross.cli.entry.http;

import org.chivecross.logic.request.RequestMachines;

/** Is notified of the results of requests. Implementations are safe for use by many threads. */
public interface ExchangeObserver {

  /** Returns machines that also report their decisions to this observer. */
  default RequestMachines recorded(RequestMachines machines) {
    return machines;
  }

  /** Called when a request is over. */
  void ended(ExchangeSummary summary);

  /**
   * Called when a connection to a target was found silent.
   *
   * @param closed number of idle connections to the same target that were closed for this reason
   */
  void silentConnectionFound(int closed);

  /** Called when a request was dropped before it was sent, since its caller had left. */
  default void droppedUnsent() {}

  /** Called when a request is ended by an unexpected error, such as a defect of this program. */
  default void failedUnexpectedly() {}

  /**
   * Called when a selector thread has handled the events of one selection.
   *
   * @param nanos time that this took, in ns
   */
  default void selectorRoundEnded(long nanos) {}

  /** Called when a request head was refused. */
  void headRefused(int status);
}
