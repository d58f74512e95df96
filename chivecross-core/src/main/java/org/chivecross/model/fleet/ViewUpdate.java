package org.chivecross.model.fleet;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * What an entry knows of the platform's store, or what changed in it since its last news.
 * Immutable.
 *
 * @param revision revision of the store
 * @param ageMillis time since the store was at that revision, in ms
 * @param digest digest of all targets after this news
 * @param rulesVersion version of the rules that the sender has; 0 for none
 * @param isSnapshot whether the targets are all there are
 * @param registered targets that are registered, or whose registration changed
 * @param removed names of targets that are gone
 * @param rules the rules, when the receiver may lack them
 */
public record ViewUpdate(
    long revision,
    long ageMillis,
    long digest,
    long rulesVersion,
    boolean isSnapshot,
    List<RegisteredTarget> registered,
    List<String> removed,
    Optional<RuleSet> rules) {

  public ViewUpdate {
    registered = List.copyOf(registered);
    removed = List.copyOf(removed);
  }
}
