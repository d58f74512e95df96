package org.chivecross.model.fleet;

import java.util.List;

/**
 * What entries know of targets beyond the present content of the store. Immutable.
 *
 * @param leaving runs that announced their shutdown, in the store or in a response
 * @param removed runs whose registration was removed, which an older copy of the store may restore
 */
public record TargetEvidence(List<TargetIncarnation> leaving, List<RemovedTarget> removed) {

  /** No evidence. */
  public static final TargetEvidence NONE = new TargetEvidence(List.of(), List.of());

  public TargetEvidence {
    leaving = List.copyOf(leaving);
    removed = List.copyOf(removed);
  }

  /** Returns evidence that a run of a target is leaving. */
  public static TargetEvidence leaving(TargetIncarnation incarnation) {
    return new TargetEvidence(List.of(incarnation), List.of());
  }
}
