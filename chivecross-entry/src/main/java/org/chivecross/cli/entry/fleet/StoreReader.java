package org.chivecross.cli.entry.fleet;

import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.fleet.StoreChange;

/** Reads the platform's store. Implementations are used by one thread at a time. */
@FunctionalInterface
public interface StoreReader {

  /** How a read ended. Immutable. */
  sealed interface Answer {

    /**
     * The store answered.
     *
     * @param change what it told
     */
    record Changed(StoreChange change) implements Answer {}

    /** The store has forgotten the changes that were asked for; a whole read is needed. */
    record HistoryLost() implements Answer {}

    /**
     * The store could not be read.
     *
     * @param failure step and peer of the cause
     */
    record Failed(Failure failure) implements Answer {}
  }

  /**
   * Reads the store; waits for the answer for a bounded time.
   *
   * @param after revision after which changes are wanted; empty for everything
   */
  Answer read(OptionalLong after);
}
