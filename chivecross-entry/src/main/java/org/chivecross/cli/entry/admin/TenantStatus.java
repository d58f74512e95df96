package org.chivecross.cli.entry.admin;

import java.util.List;
import org.chivecross.model.fileset.Limits;

/**
 * A tenant of the file set in force. Immutable.
 *
 * @param name name
 * @param weight share of contended capacity relative to the other tenants
 * @param inFlight number of requests to its services that this entry has admitted and not finished
 * @param limits limits that apply to all entries together
 * @param services names of its services
 */
public record TenantStatus(
    String name, int weight, int inFlight, Limits limits, List<String> services) {
  public TenantStatus {
    services = List.copyOf(services);
  }
}
