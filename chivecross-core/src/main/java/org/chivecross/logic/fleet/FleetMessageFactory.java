package org.chivecross.logic.fleet;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.ServiceLoad;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.ViewUpdate;

/**
 * Creates the messages of one entry, which all advertise the entry's own state. Not thread-safe.
 *
 * <p>Invariant: a message has the state of the time at which it is created.
 */
final class FleetMessageFactory {

  private final FleetPreferences preferences;
  private final PlatformView view;
  private boolean ready;
  private boolean isolated;
  private int requestsPerSecond;
  private boolean strained;
  private List<ServiceLoad> serviceLoads = List.of();

  /** Creates a factory for an entry that doesn't accept callers yet. */
  FleetMessageFactory(FleetPreferences preferences, PlatformView view) {
    this.preferences = preferences;
    this.view = view;
  }

  /** Sets whether the entry accepts new callers; returns whether this is a change. */
  boolean setReady(boolean value) {
    boolean isChange = ready != value;
    ready = value;
    return isChange;
  }

  /**
   * Sets whether the entry reaches no upstream while other entries do; returns whether this is a
   * change.
   */
  boolean setIsolated(boolean value) {
    boolean isChange = isolated != value;
    isolated = value;
    return isChange;
  }

  /** Sets whether the entry lacks processor time for its requests. */
  void setStrained(boolean value) {
    strained = value;
  }

  /** Sets the pressure on services that the entry advertises. */
  void setServiceLoads(List<ServiceLoad> loads) {
    serviceLoads = List.copyOf(loads);
  }

  /** Returns whether the entry accepts callers and reaches targets. */
  boolean isServing() {
    return ready && !isolated;
  }

  /** Sets the rate of requests that the entry receives from callers. */
  void setRequestsPerSecond(int value) {
    requestsPerSecond = value;
  }

  int requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns a message that only advertises the entry's own state. */
  FleetMessage createStateUpdate() {
    return create(List.of(), Optional.empty(), false, false);
  }

  /** Returns a message with evidence about targets. */
  FleetMessage createEvidenceUpdate(TargetEvidence evidence) {
    return create(List.of(), Optional.empty(), evidence, false, false);
  }

  /** Returns a message without evidence about targets. */
  FleetMessage create(
      List<FleetMember> members,
      Optional<ViewUpdate> viewUpdate,
      boolean asksMembers,
      boolean asksView) {
    return create(members, viewUpdate, TargetEvidence.NONE, asksMembers, asksView);
  }

  /** Returns a message with the given parts. */
  FleetMessage create(
      List<FleetMember> members,
      Optional<ViewUpdate> viewUpdate,
      TargetEvidence evidence,
      boolean asksMembers,
      boolean asksView) {
    return new FleetMessage(
        preferences.incarnation(),
        preferences.dataCentre(),
        ready,
        isolated,
        asksMembers,
        asksView,
        view.rulesVersion(),
        requestsPerSecond,
        members,
        viewUpdate,
        evidence,
        strained,
        serviceLoads);
  }
}
