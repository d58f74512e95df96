package org.chivecross.cli.experiment;

import java.util.List;

/**
 * What a run is made of. Immutable.
 *
 * @param name name in tables
 * @param serviceTargets number of targets of each service
 * @param slots slots of each target
 * @param entries number of entries
 * @param linkMicros round trip between data centres, in µs
 * @param load offered load as a fraction of all slots
 * @param noisy whether neighbours slow targets down
 * @param fault fault of the first target of each service
 * @param reportDelayMillis age of load reports when they are sent, in ms
 * @param seconds virtual time measured, in s
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

  /** What goes wrong from {@link ClusterModel#FAULT_START_NANOS} after the warm-up on. */
  enum Fault {
    /** Nothing. */
    NONE,
    /** The first target of each service fails every request at once. */
    FAIL_FAST,
    /** The first target of each service reports no load, whatever its load is. */
    LYING_REPORTS,
    /** The first target of each service says that it is leaving. */
    DRAIN,
    /** The first target of each service joins and serves at a third of its speed for 5 s. */
    COLD_START,
    /** The load is 1.5 times all slots for 10 s. */
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
