package org.chivecross.cli.entry.fleet;

import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.fleet.StoreChange;

/** Reads the platform's store. Each implementation is called by one thread at a time. */
public interface StoreReader {

  /** Result of a read. Immutable. */
  sealed interface Answer {

    /**
     * The store answered.
     *
     * @param change the changes or the snapshot that was read
     */
    record Changed(StoreChange change) implements Answer {}

    /** The store no longer holds the requested changes; a snapshot must be read. */
    record HistoryLost() implements Answer {}

    /**
     * The store could not be read.
     *
     * @param failure step and peer of the cause
     */
    record Failed(Failure failure) implements Answer {}
  }

  /**
   * Reads the store. Blocks until the answer arrives or the read times out.
   *
   * @param after revision after which changes are requested; empty for a snapshot
   */
  Answer read(OptionalLong after);

  /** Returns the number of values that were ignored since the start, since they were malformed. */
  default long rejectedValueCount() {
    return 0;
  }

  /** Returns the number of fields of rules that got a default since they were not understood. */
  default long assumptionCount() {
    return 0;
  }
}
