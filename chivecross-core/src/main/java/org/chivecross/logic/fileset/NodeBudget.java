package org.chivecross.logic.fileset;

import java.io.IOException;

/** Limit on the YAML nodes of one set, which bounds the memory of its trees. Not thread-safe. */
final class NodeBudget {

  /** Maximum number of nodes over all files of a set. */
  static final int MAX_NODES = 200_000;

  private int remaining = MAX_NODES;

  /** Takes one node from the budget. */
  void take() throws ExhaustedException {
    remaining--;
    if (remaining < 0) {
      throw new ExhaustedException();
    }
  }

  /** Thrown when a set has more nodes than {@link #MAX_NODES}. */
  static final class ExhaustedException extends IOException {
    private static final long serialVersionUID = 1L;
  }
}
