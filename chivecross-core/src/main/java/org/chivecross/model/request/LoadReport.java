package org.chivecross.model.request;

/**
 * Load report of a target.
 *
 * @param inService requests in service
 * @param queued requests waiting for a slot
 * @param slots number of requests that the target serves concurrently
 * @param slowdownPercent present service time in percent of that at nominal speed
 */
public record LoadReport(int inService, int queued, int slots, int slowdownPercent) {

  /** Slowdown of a target that works at nominal speed, or does not report its slowdown. */
  public static final int NOMINAL_SLOWDOWN_PERCENT = 100;

  /** Creates a report of a target that does not report its slowdown. */
  public LoadReport(int inService, int queued, int slots) {
    this(inService, queued, slots, NOMINAL_SLOWDOWN_PERCENT);
  }
}
