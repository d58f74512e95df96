package org.chivecross.logic.history;

import java.util.List;
import org.chivecross.model.history.Violation;

/** A property that every history must have. Implementations are pure. */
@FunctionalInterface
public interface HistoryRule {

  /** Returns all violations found. */
  List<Violation> check(History history);
}
