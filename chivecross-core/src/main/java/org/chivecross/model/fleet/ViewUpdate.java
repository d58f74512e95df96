package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Gossip update on the platform's store: a snapshot of an entry's view, or the latest changes in
 * it. Immutable.
 *
 * @param version version of the store
 * @param ageMillis time since the store was at that version, in ms
 * @param digest digest of all targets after this update
 * @param rulesVersion version of the rules that the sender has; 0 for none
 * @param isSnapshot whether {@code registered} holds all targets instead of only the changed ones
 * @param registered targets that are registered, or whose registration changed
 * @param removed ids of targets whose registration is gone
 * @param rules the rules, if the receiver may not have them
 * @param evacuated all evacuated data centres at that version; empty if the sender does not know
 *     about evacuations
 */
public record ViewUpdate(
    StoreVersion version,
    long ageMillis,
    long digest,
    long rulesVersion,
    boolean isSnapshot,
    List<RegisteredTarget> registered,
    List<String> removed,
    Optional<RuleSet> rules,
    Optional<Set<String>> evacuated) {

  public ViewUpdate {
    registered = List.copyOf(registered);
    removed = List.copyOf(removed);
    evacuated = evacuated.map(Set::copyOf);
  }

  /** Creates an update of a sender that does not know about evacuations. */
  public ViewUpdate(
      StoreVersion version,
      long ageMillis,
      long digest,
      long rulesVersion,
      boolean isSnapshot,
      List<RegisteredTarget> registered,
      List<String> removed,
      Optional<RuleSet> rules) {
    this(
        version,
        ageMillis,
        digest,
        rulesVersion,
        isSnapshot,
        registered,
        removed,
        rules,
        Optional.empty());
  }
}
