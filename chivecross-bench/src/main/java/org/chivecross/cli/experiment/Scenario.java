package org.chivecross.cli.experiment;

import java.util.List;

/**
 * Parameters of a simulated run. Immutable.
 *
 * @param name name in the printed tables
 * @param serviceTargets number of targets of each service
 * @param slots slots of each target
 * @param entries number of entries
 * @param linkMicros round-trip time between data centres, in µs
 * @param load offered load as a fraction of the capacity of all slots
 * @param noisy whether random targets slow down for a time, as with noisy neighbours
 * @param fault fault that starts during the run
 * @param reportDelayMillis age of the load reports when targets send them, in ms
 * @param seconds measured virtual time, in s
 */
record Scenario(
    String name,
    List<Integer> serviceTargets,
    int slots,
    int entries,
    int linkMicros,
    double load,
    boolean noisy,
    Fault fault,
    int reportDelayMillis,
    int seconds) {

  /** Fault that starts {@link ClusterModel#FAULT_START_NANOS} after the warm-up. */
  enum Fault {
    /** No fault. */
    NONE,
    /** The first target of each service fails each request immediately. */
    FAIL_FAST,
    /** The first target of each service reports that it has no load, regardless of its load. */
    LYING_REPORTS,
    /** The first target of each service reports that it is leaving. */
    DRAIN,
    /**
     * The first target of each service joins and serves at a third of its nominal speed for 5 s.
     */
    COLD_START,
    /** The offered load is 1.5 times the capacity of all slots for 10 s. */
    OVERLOAD
  }

  static Scenario pulpwood() {
    return new Scenario("pulpwood", List.of(16, 8, 6), 4, 20, 500, 0.5, false, Fault.NONE, 0, 20);
  }

  static Scenario screenworks() {
    return new Scenario(
        "screenworks", List.of(17, 9, 6), 6, 20, 1000, 0.5, false, Fault.NONE, 0, 20);
  }

  Scenario withLoad(double newLoad) {
    return new Scenario(
        name,
        serviceTargets,
        slots,
        entries,
        linkMicros,
        newLoad,
        noisy,
        fault,
        reportDelayMillis,
        seconds);
  }

  Scenario withNoise() {
    return new Scenario(
        name,
        serviceTargets,
        slots,
        entries,
        linkMicros,
        load,
        true,
        fault,
        reportDelayMillis,
        seconds);
  }

  Scenario withFault(Fault newFault) {
    return new Scenario(
        name,
        serviceTargets,
        slots,
        entries,
        linkMicros,
        load,
        noisy,
        newFault,
        reportDelayMillis,
        seconds);
  }

  Scenario withReportDelay(int millis) {
    return new Scenario(
        name, serviceTargets, slots, entries, linkMicros, load, noisy, fault, millis, seconds);
  }

  Scenario withSeconds(int newSeconds) {
    return new Scenario(
        name,
        serviceTargets,
        slots,
        entries,
        linkMicros,
        load,
        noisy,
        fault,
        reportDelayMillis,
        newSeconds);
  }
}
