package org.chivecross.logic.fileset;

import java.io.IOException;

/** Counts the YAML nodes of one set, so that its trees have bounded memory. Not thread-safe. */
final class NodeBudget {

  /** Most nodes over all files of a set. */
  static final int MAX_NODES = 200_000;

  private int left = MAX_NODES;

  /** Takes one node from the budget. */
  void take() throws ExhaustedException {
    left--;
    if (left < 0) {
      throw new ExhaustedException();
    }
  }

  /** The set has more nodes than {@link #MAX_NODES}. */
  static final class ExhaustedException extends IOException {
    private static final long serialVersionUID = 1L;
  }
}
