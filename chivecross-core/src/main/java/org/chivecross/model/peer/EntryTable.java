package org.chivecross.model.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.table.RowHandles;

/**
 * Membership table: one row for each entry that this process has received a claim about.
 *
 * <p>Invariant: an incarnation has at most one row, and the claim in a row is only ever replaced by
 * one that overrides it. Not thread-safe; the tick thread owns it.
 */
public final class EntryTable {

  /** Row of an unknown incarnation. */
  public static final int NONE = -1;

  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT = 29;

  private final RowHandles handles;
  private final Map<Long, Integer> rowsByIncarnation = new HashMap<>();
  private final long[] incarnations;
  private final String[] peerAddresses;
  private final String[] clientAddresses;
  private final String[] dataCentres;
  private final long[] sequences;
  private final MemberState[] states;
  private final byte[] flagBits;
  private final long[] stateSinceNanos;
  private long digest;
  private long revision;

  /** Creates an empty table for at most {@code capacity} entries, dead ones included. */
  public EntryTable(int capacity) {
    handles = new RowHandles(capacity);
    incarnations = new long[capacity];
    peerAddresses = new String[capacity];
    clientAddresses = new String[capacity];
    dataCentres = new String[capacity];
    sequences = new long[capacity];
    states = new MemberState[capacity];
    flagBits = new byte[capacity];
    stateSinceNanos = new long[capacity];
  }

  /** Returns the row of an incarnation, or {@link #NONE}. */
  public int rowOf(long incarnation) {
    return rowsByIncarnation.getOrDefault(incarnation, NONE);
  }

  /**
   * Stores a claim when it is the first about its incarnation or overrides the stored one.
   *
   * <p>A full table evicts the entry that has been dead for the longest time.
   *
   * @return whether the table changed; also false when it is full and no entry in it is dead
   */
  public boolean merge(EntryMember claim, long nowNanos) {
    int row = rowOf(claim.incarnation());
    if (row == NONE) {
      long handle = acquireHandle();
      if (handle == RowHandles.NONE) {
        return false;
      }
      row = RowHandles.row(handle);
      rowsByIncarnation.put(claim.incarnation(), row);
      stateSinceNanos[row] = nowNanos;
    } else {
      EntryMember known = member(row);
      if (!claim.overrides(known)) {
        return false;
      }
      digest ^= hash(row);
      if (claim.state() != known.state()) {
        stateSinceNanos[row] = nowNanos;
      }
    }
    write(row, claim);
    digest ^= hash(row);
    revision++;
    return true;
  }

  /** Removes an entry. */
  public void remove(int row) {
    long handle = handles.handleOf(row);
    if (handle == RowHandles.NONE) {
      return;
    }
    digest ^= hash(row);
    rowsByIncarnation.remove(incarnations[row]);
    handles.release(handle);
    revision++;
  }

  /** Returns the claim in a live row. */
  public EntryMember member(int row) {
    return new EntryMember(
        incarnations[row],
        peerAddresses[row],
        clientAddresses[row],
        dataCentres[row],
        sequences[row],
        states[row],
        EntryFlags.ofBits(flagBits[row]));
  }

  /** Returns the state of a live row. */
  public MemberState state(int row) {
    return states[row];
  }

  /** Returns the monotonic time since which a row has had its state. */
  public long stateSinceNanos(int row) {
    return stateSinceNanos[row];
  }

  /** Moves the start of a row's state forward by the time for which this process was paused. */
  public void shiftStateSince(int row, long byNanos) {
    stateSinceNanos[row] += byNanos;
  }

  /** Returns the live rows. */
  public int[] rows() {
    return handles.liveRows();
  }

  /** Returns the claims of all rows. */
  public List<EntryMember> members() {
    List<EntryMember> members = new ArrayList<>(handles.liveCount());
    for (int row : handles.liveRows()) {
      members.add(member(row));
    }
    return members;
  }

  /** Returns a digest that is equal for tables with the same claims about entries not dead. */
  public long digest() {
    return digest;
  }

  /** Returns the number of changes so far. */
  public long revision() {
    return revision;
  }

  private long acquireHandle() {
    if (handles.liveCount() < handles.capacity()) {
      return handles.acquire();
    }
    int oldest = NONE;
    for (int row : handles.liveRows()) {
      boolean older = oldest == NONE || stateSinceNanos[row] < stateSinceNanos[oldest];
      if (states[row] == MemberState.DEAD && older) {
        oldest = row;
      }
    }
    if (oldest == NONE) {
      return RowHandles.NONE;
    }
    remove(oldest);
    return handles.acquire();
  }

  private void write(int row, EntryMember claim) {
    incarnations[row] = claim.incarnation();
    peerAddresses[row] = claim.peerAddress();
    clientAddresses[row] = claim.clientAddress();
    dataCentres[row] = claim.dataCentre();
    sequences[row] = claim.sequence();
    states[row] = claim.state();
    flagBits[row] = claim.flags().toBits();
  }

  private long hash(int row) {
    return hash(member(row));
  }

  /** Returns the contribution of one claim to {@link #digest()}; 0 for a dead entry. */
  public static long hash(EntryMember claim) {
    if (claim.state() == MemberState.DEAD) {
      return 0;
    }
    long hash = claim.incarnation() * HASH_MULTIPLIER;
    hash = (hash ^ (hash >>> HASH_SHIFT) ^ claim.sequence()) * HASH_MULTIPLIER;
    hash = (hash ^ (hash >>> HASH_SHIFT) ^ claim.state().rank()) * HASH_MULTIPLIER;
    return hash ^ (hash >>> HASH_SHIFT);
  }
}
