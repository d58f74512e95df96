package org.chivecross.model.request;

/**
 * Load as a target reports it with an answer.
 *
 * @param inService requests in service
 * @param queued requests waiting for a slot
 * @param slots requests it serves at once
 * @param slowdownPercent how long work takes at this moment, in percent of the usual time
 */
public record LoadReport(int inService, int queued, int slots, int slowdownPercent) {

  /** Slowdown of a target that works at its usual speed, or doesn't report it. */
  public static final int NOMINAL_SLOWDOWN_PERCENT = 100;

  /** Creates a report of a target that doesn't tell its speed. */
  public LoadReport(int inService, int queued, int slots) {
    this(inService, queued, slots, NOMINAL_SLOWDOWN_PERCENT);
  }
}
