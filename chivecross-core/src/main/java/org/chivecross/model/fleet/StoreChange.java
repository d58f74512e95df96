package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Result of a read of the platform's store. Immutable.
 *
 * @param isSnapshot whether {@code registered} holds all targets instead of only the changed ones
 * @param version version of the store up to which this is complete
 * @param registered targets that are registered, or whose registration changed
 * @param removed ids of targets whose registration is gone; empty in a snapshot
 * @param rules the newest rules, if the read returned a valid set
 * @param evacuated data centres whose evacuation was found; all of them in a snapshot
 * @param restored data centres whose evacuation ended; empty in a snapshot
 */
public record StoreChange(
    boolean isSnapshot,
    StoreVersion version,
    List<RegisteredTarget> registered,
    List<String> removed,
    Optional<RuleSet> rules,
    List<String> evacuated,
    List<String> restored) {

  public StoreChange {
    registered = List.copyOf(registered);
    removed = List.copyOf(removed);
    evacuated = List.copyOf(evacuated);
    restored = List.copyOf(restored);
  }

  /** Creates a result without evacuations. */
  public StoreChange(
      boolean isSnapshot,
      StoreVersion version,
      List<RegisteredTarget> registered,
      List<String> removed,
      Optional<RuleSet> rules) {
    this(isSnapshot, version, registered, removed, rules, List.of(), List.of());
  }
}
