package org.chivecross.cli.entry.admin;

import java.util.Map;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Limits;

/**
 * A service of the file set in force with its limits and budgets. Immutable.
 *
 * @param name name
 * @param tenant name of its owner
 * @param inFlight admitted requests of this entry that are not over
 * @param targets number of its targets
 * @param usableTargets number of targets that may take new work
 * @param limits limits over the whole system
 * @param concurrencyShare most requests in service at once at this entry
 * @param queuePerTarget most requests waiting for a slot, for each target
 * @param probeBudget most that measuring may cost, as a fraction of the slot time of a target
 * @param probeMillis slot time that one probe costs, in ms
 * @param classes policy of each class
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
