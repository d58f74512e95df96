package org.chivecross.model.peer;

/**
 * Status flags that an entry advertises about itself. Immutable.
 *
 * @param leaving whether it is stopping and accepts no new callers
 * @param ready whether it serves callers and, when it started, no peer had a newer usable
 *     configuration in force
 * @param overloaded whether it sheds requests of callers
 * @param platformUnreachable whether its latest reads of the platform failed
 */
public record EntryFlags(
    boolean leaving, boolean ready, boolean overloaded, boolean platformUnreachable) {

  /** Flags of an entry that has just started. */
  public static final EntryFlags STARTING = new EntryFlags(false, false, false, false);

  private static final int LEAVING_BIT = 1;
  private static final int READY_BIT = 2;
  private static final int OVERLOADED_BIT = 4;
  private static final int UNREACHABLE_BIT = 8;

  /** Returns the flags as a bit set that {@link #ofBits} reads. */
  public byte toBits() {
    int bits = leaving ? LEAVING_BIT : 0;
    bits |= ready ? READY_BIT : 0;
    bits |= overloaded ? OVERLOADED_BIT : 0;
    bits |= platformUnreachable ? UNREACHABLE_BIT : 0;
    return (byte) bits;
  }

  /** Returns the flags of a bit set from {@link #toBits}. */
  public static EntryFlags ofBits(byte bits) {
    return new EntryFlags(
        (bits & LEAVING_BIT) != 0,
        (bits & READY_BIT) != 0,
        (bits & OVERLOADED_BIT) != 0,
        (bits & UNREACHABLE_BIT) != 0);
  }
}
