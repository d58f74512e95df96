package org.chivecross.cli.entry.admin;

import java.util.Map;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Limits;

/**
 * A service of the file set in force with its limits and probe budget. Immutable.
 *
 * @param name name
 * @param tenant name of the tenant that owns it
 * @param inFlight number of requests that this entry has admitted and not finished
 * @param targets number of its targets
 * @param usableTargets number of targets that may get new requests
 * @param limits limits that apply to all entries together
 * @param concurrencyShare share of the concurrency limit that this entry may use
 * @param queuePerTarget maximum number of requests that wait for a slot, per target
 * @param probeBudget maximum cost of probes, as a fraction of the slot time of a target
 * @param probeMillis slot time that one probe costs, in ms
 * @param classes policies by request class
 */
public record ServiceSummary(
    String name,
    String tenant,
    int inFlight,
    int targets,
    int usableTargets,
    Limits limits,
    int concurrencyShare,
    int queuePerTarget,
    double probeBudget,
    double probeMillis,
    Map<String, ClassPolicy> classes) {
  public ServiceSummary {
    classes = Map.copyOf(classes);
  }
}
