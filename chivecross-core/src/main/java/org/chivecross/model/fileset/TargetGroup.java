package org.chivecross.model.fileset;

import java.util.List;

/**
 * Targets of one service in one data centre that share their sizes.
 *
 * @param dataCentre data centre of the targets
 * @param slots requests a target serves at once
 * @param connections most connections a target takes from all entries together
 * @param addresses {@code ip:port} of each target
 */
public record TargetGroup(String dataCentre, int slots, int connections, List<String> addresses) {
  public TargetGroup {
    addresses = List.copyOf(addresses);
  }
}
