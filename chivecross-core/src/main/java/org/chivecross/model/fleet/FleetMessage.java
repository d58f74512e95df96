package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Gossip message from one entry to another. It may be lost and is not acknowledged. Immutable.
 *
 * @param incarnation random number that identifies this run of the sender
 * @param dataCentre data centre of the sender
 * @param ready whether the sender accepts new callers
 * @param isolated whether the sender reaches no upstream while other entries do
 * @param asksMembers whether the sender requests the members that the receiver has
 * @param asksView whether the sender requests a snapshot of the view
 * @param knownRulesVersion version of the rules that the sender has; 0 for none
 * @param requestsPerSecond requests per second that the sender receives from callers
 * @param members other entries that the sender has in its membership
 * @param viewUpdate gossip update on the platform's store
 * @param evidence evidence about targets that the receiver may lack
 * @param strained whether the sender lacks processor time for its requests
 * @param serviceLoads pressure on services as the sender sees it
 */
public record FleetMessage(
    long incarnation,
    String dataCentre,
    boolean ready,
    boolean isolated,
    boolean asksMembers,
    boolean asksView,
    long knownRulesVersion,
    int requestsPerSecond,
    List<FleetMember> members,
    Optional<ViewUpdate> viewUpdate,
    TargetEvidence evidence,
    boolean strained,
    List<ServiceLoad> serviceLoads) {

  public FleetMessage {
    members = List.copyOf(members);
    serviceLoads = List.copyOf(serviceLoads);
  }

  /** Creates a message of an entry that advertises no load. */
  public FleetMessage(
      long incarnation,
      String dataCentre,
      boolean ready,
      boolean isolated,
      boolean asksMembers,
      boolean asksView,
      long knownRulesVersion,
      int requestsPerSecond,
      List<FleetMember> members,
      Optional<ViewUpdate> viewUpdate,
      TargetEvidence evidence) {
    this(
        incarnation,
        dataCentre,
        ready,
        isolated,
        asksMembers,
        asksView,
        knownRulesVersion,
        requestsPerSecond,
        members,
        viewUpdate,
        evidence,
        false,
        List.of());
  }
}
