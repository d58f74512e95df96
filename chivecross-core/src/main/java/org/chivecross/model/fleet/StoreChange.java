package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * What a read of the platform's store brought. Immutable.
 *
 * @param isSnapshot whether the targets are all there are, not just those that changed
 * @param revision revision of the store up to which this is complete
 * @param registered targets that are registered, or whose registration changed
 * @param removed names of targets whose registration is gone; empty in a whole read
 * @param rules the newest rules, when the read brought a valid set
 */
public record StoreChange(
    boolean isSnapshot,
    long revision,
    List<RegisteredTarget> registered,
    List<String> removed,
    Optional<RuleSet> rules) {

  public StoreChange {
    registered = List.copyOf(registered);
    removed = List.copyOf(removed);
  }
}
