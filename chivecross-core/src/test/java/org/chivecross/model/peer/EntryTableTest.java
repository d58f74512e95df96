package org.chivecross.model.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EntryTableTest {

  private final EntryTable table = new EntryTable(2);

  private static EntryMember claim(long incarnation, long sequence, MemberState state) {
    return new EntryMember(
        incarnation, "10.0.0.1:7400", "10.0.0.1:80", "a", sequence, state, EntryFlags.STARTING);
  }

  @Test
  void fullTableEvictsTheEntryDeadForLongest() {
    table.merge(claim(1, 1, MemberState.DEAD), 10);
    table.merge(claim(2, 1, MemberState.DEAD), 5);
    assertTrue(table.merge(claim(3, 1, MemberState.ALIVE), 20));
    assertEquals(EntryTable.NONE, table.rowOf(2));
    assertNotEquals(EntryTable.NONE, table.rowOf(1));
  }

  @Test
  void tableFullOfEntriesNotDeadRejectsNewEntry() {
    table.merge(claim(1, 1, MemberState.ALIVE), 0);
    table.merge(claim(2, 1, MemberState.SUSPECT), 0);
    assertFalse(table.merge(claim(3, 1, MemberState.ALIVE), 1));
  }

  @Test
  void digestDoesNotDependOnTheOrderOfClaims() {
    EntryTable other = new EntryTable(2);
    table.merge(claim(1, 1, MemberState.ALIVE), 0);
    table.merge(claim(2, 4, MemberState.ALIVE), 0);
    table.merge(claim(2, 3, MemberState.DEAD), 0);
    other.merge(claim(2, 3, MemberState.DEAD), 0);
    other.merge(claim(2, 4, MemberState.ALIVE), 0);
    other.merge(claim(1, 1, MemberState.ALIVE), 0);
    assertEquals(table.digest(), other.digest());
  }
}
