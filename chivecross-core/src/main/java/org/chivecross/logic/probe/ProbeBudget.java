package org.chivecross.logic.probe;

/**
 * Interval between the probes of one target by one entry. The probe budget of a service is divided
 * by the upper bound on entries instead of the number currently alive, so all entries together stay
 * within the budget even during a network partition.
 */
public final class ProbeBudget {

  /** Interval that stands for no probes at all. */
  public static final long NO_PROBES = Long.MAX_VALUE / 4;

  private static final double NANOS_PER_MILLI = 1e6;

  private ProbeBudget() {}

  /**
   * Returns the minimum time between two probes of one target by one entry, in ns.
   *
   * @param budget maximum cost of probes, as a fraction of the slot time of a target
   * @param probeMillis slot time that one probe costs, in ms
   * @param slots slots of the target
   * @param entryBound upper bound on the number of entries
   */
  public static long intervalNanos(double budget, double probeMillis, int slots, int entryBound) {
    double probesPerNano = budget * slots / (probeMillis * NANOS_PER_MILLI) / entryBound;
    if (!(probesPerNano > 1.0 / NO_PROBES)) {
      return NO_PROBES;
    }
    return (long) Math.ceil(1 / probesPerNano);
  }
}
