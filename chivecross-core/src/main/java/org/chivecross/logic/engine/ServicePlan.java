package org.chivecross.logic.engine;

import org.chivecross.logic.probe.ProbeBudget;

/** A service of the file set in force, with names resolved to rows. Immutable. */
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
   * @param extraNanos round trip to each target beyond that within the own data centre, in ns
   * @param probeIntervals least time between probes of each target by this entry, in ns
   * @param hedgeFraction hedged reads allowed as a fraction of reads
   * @param probeMillis slot time that one probe costs, in ms
   */
  ServicePlan(
      int row,
      String name,
      String tenant,
      int[] targets,
      long[] extraNanos,
      long[] probeIntervals,
      double hedgeFraction,
      double probeMillis) {
    this.row = row;
    this.name = name;
    this.tenant = tenant;
    this.targets = targets;
    this.extraRoundTripNanos = extraNanos;
    this.probeIntervalNanos = probeIntervals;
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

  /** Rows of the targets; callers must not change the array. */
  int[] targets() {
    return targets;
  }

  /** Extra round trips by index of the target; callers must not change the array. */
  long[] extraRoundTripNanos() {
    return extraRoundTripNanos;
  }

  long probeIntervalNanosOf(int index) {
    return probeIntervalNanos[index];
  }

  double hedgeFraction() {
    return hedgeFraction;
  }

  double probeMillis() {
    return probeMillis;
  }

  /** Slot time in ms for each ns that this entry may spend on measuring. */
  double allowedProbeMillisPerNano() {
    double probesPerNano = 0;
    for (long interval : probeIntervalNanos) {
      probesPerNano += interval >= ProbeBudget.NO_PROBES ? 0 : 1.0 / interval;
    }
    return probesPerNano * probeMillis;
  }
}
