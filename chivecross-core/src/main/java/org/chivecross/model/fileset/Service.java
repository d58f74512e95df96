package org.chivecross.model.fileset;

import java.util.List;
import java.util.Map;

/**
 * A service and its targets.
 *
 * @param name unique name
 * @param owner name of the tenant that owns it
 * @param probeBudget maximum cost of probes, as a fraction of the slot time of a target
 * @param probeMillis slot time that one probe costs, in ms
 * @param queuePerTarget maximum number of requests queued for a slot, per target
 * @param limits limits over all classes
 * @param classes policy of each class that the service accepts
 * @param targets groups of targets
 */
public record Service(
    String name,
    String owner,
    double probeBudget,
    double probeMillis,
    int queuePerTarget,
    Limits limits,
    Map<RequestClass, ClassPolicy> classes,
    List<TargetGroup> targets) {
  public Service {
    classes = Map.copyOf(classes);
    targets = List.copyOf(targets);
  }
}
