package org.chivecross.cli.standin.upstream;

/**
 * Current behaviour of a target: its speed and its faults. Immutable.
 *
 * @param slowdown factor on the service time; 1 is nominal speed
 * @param failFast whether it responds 500 at once, without running the request
 * @param shedding whether it responds 503 with {@code Chivecross-Not-Run} at once
 * @param leaving whether its responses carry {@code Chivecross-Leaving}
 * @param idleLoadReported whether it always reports no load
 * @param reportDelayMillis delay of its load reports, in ms
 * @param brokenBody whether it closes the connection halfway through each response body
 * @param cold whether it serves with one slot only, like a process that has just started
 * @param refusing whether it closes new connections at once
 */
record Behaviour(
    double slowdown,
    boolean failFast,
    boolean shedding,
    boolean leaving,
    boolean idleLoadReported,
    int reportDelayMillis,
    boolean brokenBody,
    boolean cold,
    boolean refusing) {

  static final Behaviour NORMAL =
      new Behaviour(1, false, false, false, false, 0, false, false, false);

  Behaviour withSlowdown(double factor) {
    return new Behaviour(
        factor,
        failFast,
        shedding,
        leaving,
        idleLoadReported,
        reportDelayMillis,
        brokenBody,
        cold,
        refusing);
  }
}
