package org.chivecross.model.registry;

/**
 * A target that registered itself. Immutable.
 *
 * @param id name of the target; a restarted target has the same name and a later start
 * @param startedAtMillis start of this incarnation, in ms since the epoch of the target's own clock
 * @param service name of the service that it belongs to
 * @param address address on which it listens
 * @param dataCentre data centre that it runs in
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it announced its shutdown
 * @param warmupMillis remaining slow-start time at this registration, in ms
 * @param sequence number of this registration among those of the run; 0 while unknown
 */
public record RegisteredTarget(
    String id,
    long startedAtMillis,
    String service,
    TargetAddress address,
    String dataCentre,
    int slots,
    boolean leaving,
    long warmupMillis,
    long sequence) {

  /** Returns this target as one that is leaving. */
  public RegisteredTarget asLeaving() {
    return new RegisteredTarget(
        id, startedAtMillis, service, address, dataCentre, slots, true, warmupMillis, sequence);
  }

  /** Returns this target with another remaining slow-start time, in ms. */
  public RegisteredTarget withWarmupMillis(long millis) {
    return new RegisteredTarget(
        id, startedAtMillis, service, address, dataCentre, slots, leaving, millis, sequence);
  }

  /** Returns whether {@code other} is the same run of the same target. */
  public boolean isSameIncarnation(RegisteredTarget other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
