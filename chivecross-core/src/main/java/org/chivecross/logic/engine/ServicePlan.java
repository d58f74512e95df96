package org.chivecross.logic.engine;

import org.chivecross.logic.probe.ProbeBudget;

/** A service of the file set in force, with its names resolved to table rows. Immutable. */
final class ServicePlan {

  private final int row;
  private final String name;
  private final String tenant;
  private final int[] targets;
  private final long[] extraRoundTripNanos;
  private final long[] probeIntervalNanos;
  private final double hedgeFraction;
  private final double probeMillis;

  /**
   * Creates a plan.
   *
   * @param extraRoundTripNanos round-trip time to each target beyond that within the own data
   *     centre, in ns
   * @param probeIntervalNanos minimum time between probes of each target by this entry, in ns
   * @param hedgeFraction hedged reads allowed as a fraction of reads
   * @param probeMillis slot time that one probe costs, in ms
   */
  ServicePlan(
      int row,
      String name,
      String tenant,
      int[] targets,
      long[] extraRoundTripNanos,
      long[] probeIntervalNanos,
      double hedgeFraction,
      double probeMillis) {
    this.row = row;
    this.name = name;
    this.tenant = tenant;
    this.targets = targets;
    this.extraRoundTripNanos = extraRoundTripNanos;
    this.probeIntervalNanos = probeIntervalNanos;
    this.hedgeFraction = hedgeFraction;
    this.probeMillis = probeMillis;
  }

  int row() {
    return row;
  }

  String name() {
    return name;
  }

  String tenant() {
    return tenant;
  }

  /** Returns the rows of the targets; callers must not change the array. */
  int[] targets() {
    return targets;
  }

  /**
   * Returns the extra round-trip times by index of the target; callers must not change the array.
   */
  long[] extraRoundTripNanos() {
    return extraRoundTripNanos;
  }

  long probeIntervalNanos(int index) {
    return probeIntervalNanos[index];
  }

  double hedgeFraction() {
    return hedgeFraction;
  }

  double probeMillis() {
    return probeMillis;
  }

  /**
   * Returns the slot time in ms that this entry may spend on probes for each ns of running time.
   */
  double allowedProbeMillisPerNano() {
    double probesPerNano = 0;
    for (long interval : probeIntervalNanos) {
      probesPerNano += interval >= ProbeBudget.NO_PROBES ? 0 : 1.0 / interval;
    }
    return probesPerNano * probeMillis;
  }
}
