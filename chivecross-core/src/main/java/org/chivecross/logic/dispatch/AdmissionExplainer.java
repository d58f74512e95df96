package org.chivecross.logic.dispatch;

/**
 * Explains how a request is admitted while its service is under pressure. Implementations change no
 * state.
 */
@FunctionalInterface
public interface AdmissionExplainer {

  /** Explainer of a dispatcher that admits all requests alike. */
  AdmissionExplainer NONE = (ticket, nowNanos) -> new Admission("none", "none");

  /** Returns how the request of a ticket would be admitted now. */
  Admission explain(PlacementTicket ticket, long nowNanos);

  /**
   * How a request is admitted.
   *
   * @param pressure pressure level of its service; {@code none} if it is not known
   * @param decision what is decided about the request; {@code none} if nothing is
   */
  record Admission(String pressure, String decision) {}
}
