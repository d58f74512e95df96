package org.chivecross.model.fleet;

import java.util.List;

/**
 * What entries know of targets beyond the present content of the store. Immutable.
 *
 * @param leaving runs that announced their shutdown, in the store or in a response
 * @param removed runs whose registration was removed, which an older copy of the store may restore
 * @param limits request limits that runs named, and ends of such limits
 * @param suspects requests under which runs ended
 * @param warmUps runs that warm up
 */
public record TargetEvidence(
    List<TargetIncarnation> leaving,
    List<RemovedTarget> removed,
    List<TargetLimit> limits,
    List<SuspectRequest> suspects,
    List<TargetWarmUp> warmUps) {

  /** No evidence. */
  public static final TargetEvidence NONE = new TargetEvidence(List.of(), List.of());

  public TargetEvidence {
    leaving = List.copyOf(leaving);
    removed = List.copyOf(removed);
    limits = List.copyOf(limits);
    suspects = List.copyOf(suspects);
    warmUps = List.copyOf(warmUps);
  }

  /** Creates evidence about shutdowns and removals only. */
  public TargetEvidence(List<TargetIncarnation> leaving, List<RemovedTarget> removed) {
    this(leaving, removed, List.of(), List.of(), List.of());
  }

  /** Returns evidence about request limits only. */
  public static TargetEvidence limits(List<TargetLimit> limits) {
    return new TargetEvidence(List.of(), List.of(), limits, List.of(), List.of());
  }

  /** Returns evidence about suspect requests only. */
  public static TargetEvidence suspects(List<SuspectRequest> suspects) {
    return new TargetEvidence(List.of(), List.of(), List.of(), suspects, List.of());
  }

  /** Returns evidence about targets that warm up only. */
  public static TargetEvidence warmUps(List<TargetWarmUp> warmUps) {
    return new TargetEvidence(List.of(), List.of(), List.of(), List.of(), warmUps);
  }

  /** Returns this evidence with other request limits, suspect requests and warm-ups. */
  public TargetEvidence with(
      List<TargetLimit> otherLimits,
      List<SuspectRequest> otherSuspects,
      List<TargetWarmUp> otherWarmUps) {
    return new TargetEvidence(leaving, removed, otherLimits, otherSuspects, otherWarmUps);
  }

  /** Returns whether there is no evidence. */
  public boolean isEmpty() {
    return leaving.isEmpty()
        && removed.isEmpty()
        && limits.isEmpty()
        && suspects.isEmpty()
        && warmUps.isEmpty();
  }

  /** Returns evidence that a run of a target is leaving. */
  public static TargetEvidence leaving(TargetIncarnation incarnation) {
    return new TargetEvidence(List.of(incarnation), List.of());
  }
}
