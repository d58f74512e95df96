package org.chivecross.logic.peer;

import java.util.List;
import org.chivecross.logic.config.ConfigPreferences;
import org.chivecross.logic.membership.MembershipPreferences;
import org.chivecross.model.peer.EntryMember;

/**
 * Settings of one entry's communication with other entries. Immutable.
 *
 * @param self this entry
 * @param deployment name of the deployment
 * @param contacts peer addresses from the settings
 * @param tableCapacity maximum number of entries in the membership table, dead ones included
 * @param membership settings of the membership and its failure detector
 * @param config settings of the configuration replication
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
