package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Message of one entry to another. It may be lost, and nothing is sent to confirm it. Immutable.
 *
 * @param incarnation number that the sender drew at its start
 * @param dataCentre data centre of the sender
 * @param ready whether the sender takes new callers
 * @param asksMembers whether the sender wants to know all entries
 * @param asksView whether the sender wants all targets and the rules
 * @param knownRulesVersion version of the rules that the sender has; 0 for none
 * @param requestsPerSecond requests that the sender takes from callers in a second
 * @param members other entries that the sender has heard
 * @param view news of the platform's store
 */
public record FleetMessage(
    long incarnation,
    String dataCentre,
    boolean ready,
    boolean asksMembers,
    boolean asksView,
    long knownRulesVersion,
    int requestsPerSecond,
    List<FleetMember> members,
    Optional<ViewUpdate> view) {

  public FleetMessage {
    members = List.copyOf(members);
  }
}
