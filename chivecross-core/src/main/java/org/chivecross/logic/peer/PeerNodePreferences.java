package org.chivecross.logic.peer;

import java.util.List;
import org.chivecross.logic.config.ConfigPreferences;
import org.chivecross.logic.membership.MembershipPreferences;
import org.chivecross.model.peer.EntryMember;

/**
 * Settings of one entry towards the others. Immutable.
 *
 * @param self this entry
 * @param deployment name of the deployment
 * @param contacts peer addresses from the settings
 * @param tableCapacity most entries remembered, dead ones included
 * @param membership times of failure detection
 * @param config times and budgets of the configuration
 */
public record PeerNodePreferences(
    EntryMember self,
    String deployment,
    List<String> contacts,
    int tableCapacity,
    MembershipPreferences membership,
    ConfigPreferences config) {
  public PeerNodePreferences {
    contacts = List.copyOf(contacts);
  }
}
