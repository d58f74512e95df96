package org.chivecross.model.fleet;

import java.util.List;

/**
 * What entries know of targets beyond the present content of the store. Immutable.
 *
 * @param leaving runs that announced their shutdown, in the store or in a response
 * @param removed runs whose registration was removed, which an older copy of the store may restore
 * @param limits request limits that runs named, and ends of such limits
 */
public record TargetEvidence(
    List<TargetIncarnation> leaving, List<RemovedTarget> removed, List<TargetLimit> limits) {

  /** No evidence. */
  public static final TargetEvidence NONE = new TargetEvidence(List.of(), List.of());

  public TargetEvidence {
    leaving = List.copyOf(leaving);
    removed = List.copyOf(removed);
    limits = List.copyOf(limits);
  }

  /** Creates evidence without request limits. */
  public TargetEvidence(List<TargetIncarnation> leaving, List<RemovedTarget> removed) {
    this(leaving, removed, List.of());
  }

  /** Returns evidence about request limits only. */
  public static TargetEvidence limits(List<TargetLimit> limits) {
    return new TargetEvidence(List.of(), List.of(), limits);
  }

  /** Returns this evidence with request limits. */
  public TargetEvidence withLimits(List<TargetLimit> added) {
    return new TargetEvidence(leaving, removed, added);
  }

  /** Returns evidence that a run of a target is leaving. */
  public static TargetEvidence leaving(TargetIncarnation incarnation) {
    return new TargetEvidence(List.of(incarnation), List.of());
  }
}
