package org.chivecross.model.fileset;

import java.util.List;

/**
 * Targets of one service in one data centre that have the same capacity.
 *
 * @param dataCentre data centre of the targets
 * @param slots number of requests that a target serves at the same time
 * @param connections maximum number of connections to a target from all entries together
 * @param addresses {@code ip:port} of each target
 */
public record TargetGroup(String dataCentre, int slots, int connections, List<String> addresses) {
  public TargetGroup {
    addresses = List.copyOf(addresses);
  }
}
