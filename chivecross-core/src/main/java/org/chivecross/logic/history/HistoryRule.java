package org.chivecross.logic.history;

import java.util.List;
import org.chivecross.model.history.Violation;

/** A rule that every history must satisfy. Implementations are pure functions. */
@FunctionalInterface
public interface HistoryRule {

  /** Returns all violations found. */
  List<Violation> check(History history);
}
