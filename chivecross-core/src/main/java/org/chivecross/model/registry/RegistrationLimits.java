package org.chivecross.model.registry;

import java.util.regex.Pattern;

/**
 * Bounds of what a target registers; a registration beyond them is of another writer and names no
 * target. Stateless and safe for use by many threads.
 */
public final class RegistrationLimits {

  /** Most bytes of a registration; parsed, a value may take hundreds of times as many. */
  private static final int MAX_BYTES = 16 * 1024;

  /** More requests at once than any target processes; sums of them must not overflow. */
  private static final int MAX_SLOTS = 100_000;

  /** Ids are sent in a header of requests, where other characters would end it or be changed. */
  private static final Pattern ID = Pattern.compile("[\\x21-\\x7e]{1,200}");

  private RegistrationLimits() {}

  /** Returns whether a target can have this id and register this number of bytes. */
  public static boolean mayBeParsed(String id, int bytes) {
    return ID.matcher(id).matches() && bytes <= MAX_BYTES;
  }

  /** Returns whether a target can process this number of requests concurrently. */
  public static boolean isPossibleSlots(int slots) {
    return slots >= 1 && slots <= MAX_SLOTS;
  }
}
