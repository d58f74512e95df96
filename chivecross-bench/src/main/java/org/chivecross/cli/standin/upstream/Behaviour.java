package org.chivecross.cli.standin.upstream;

/**
 * How a target behaves at the moment. Immutable.
 *
 * @param slowdown factor on the service time; 1 is normal
 * @param failFast answers 500 at once without running the request
 * @param shedding answers 503 with {@code Chivecross-Not-Run} at once
 * @param leaving marks its answers with {@code Chivecross-Leaving}
 * @param idleLoadReported reports no load, whatever it has
 * @param reportDelayMillis age of the load that it reports, in ms
 * @param brokenBody closes the connection in the middle of each answer
 * @param cold serves with one slot only, as after a start
 * @param refusing closes new connections at once
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
