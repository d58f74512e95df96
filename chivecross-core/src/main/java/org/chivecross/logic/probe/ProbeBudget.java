package org.chivecross.logic.probe;

/**
 * Pace at which one entry may probe one target. The budget of a service is divided by the bound on
 * entries, never by the number believed alive, so all entries together keep it under any partition.
 */
public final class ProbeBudget {

  /** Interval that forbids probes. */
  public static final long NO_PROBES = Long.MAX_VALUE / 4;

  private static final double NANOS_PER_MILLI = 1e6;

  private ProbeBudget() {}

  /**
   * Returns the least time between two probes of one target by one entry, in ns.
   *
   * @param budget most that measuring may cost, as a fraction of the slot time of a target
   * @param probeMillis slot time that one probe costs, in ms
   * @param slots slots of the target
   * @param entryBound upper bound on entries
   */
  public static long intervalNanos(double budget, double probeMillis, int slots, int entryBound) {
    double probesPerNano = budget * slots / (probeMillis * NANOS_PER_MILLI) / entryBound;
    if (!(probesPerNano > 1.0 / NO_PROBES)) {
      return NO_PROBES;
    }
    return (long) Math.ceil(1 / probesPerNano);
  }
}
