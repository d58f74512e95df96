package org.chivecross.model.peer;

/**
 * What an entry says of itself. Immutable.
 *
 * @param leaving whether it stops and takes no new callers
 * @param ready whether it holds a configuration that its peers know of nothing newer than
 * @param overloaded whether it sheds callers' requests
 * @param platformUnreachable whether its latest reads of the platform failed
 */
public record EntryFlags(
    boolean leaving, boolean ready, boolean overloaded, boolean platformUnreachable) {

  /** Marks of an entry that has just started. */
  public static final EntryFlags STARTING = new EntryFlags(false, false, false, false);

  private static final int LEAVING_BIT = 1;
  private static final int READY_BIT = 2;
  private static final int OVERLOADED_BIT = 4;
  private static final int UNREACHABLE_BIT = 8;

  /** Returns the marks as a bit set that {@link #ofBits} reads. */
  public byte toBits() {
    int bits = leaving ? LEAVING_BIT : 0;
    bits |= ready ? READY_BIT : 0;
    bits |= overloaded ? OVERLOADED_BIT : 0;
    bits |= platformUnreachable ? UNREACHABLE_BIT : 0;
    return (byte) bits;
  }

  /** Returns the marks that {@link #toBits} wrote. */
  public static EntryFlags ofBits(byte bits) {
    return new EntryFlags(
        (bits & LEAVING_BIT) != 0,
        (bits & READY_BIT) != 0,
        (bits & OVERLOADED_BIT) != 0,
        (bits & UNREACHABLE_BIT) != 0);
  }
}
